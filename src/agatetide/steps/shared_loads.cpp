#include "agatetide/steps/shared_loads.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace agatetide::steps {

namespace asio = boost::asio;

/// A load that runs. Canceling the timer wakes the readers that wait for it.
struct SharedLoads::Pending
{
  explicit Pending(const asio::any_io_executor& aExecutor)
    : mDone(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  asio::steady_timer mDone;
  std::optional<Result<SharedBytes>> mResult;
};

SharedLoads::SharedLoads(asio::any_io_executor aExecutor)
  : mExecutor(std::move(aExecutor))
{
}

Awaitable<Result<SharedBytes>> SharedLoads::Get(std::string aKey, Load aLoad)
{
  std::erase_if(mEntries, [](const auto& aItem) {
    return !aItem.second.mPending && aItem.second.mLoaded.IsExpired();
  });
  if (const auto found = mEntries.find(aKey); found != mEntries.end()) {
    if (found->second.mPending) {
      co_return co_await Await(found->second.mPending);
    }
    co_return found->second.mLoaded.Lock();
  }
  mEntries[aKey].mPending = std::make_shared<Pending>(mExecutor);
  Result<SharedBytes> result = Error{ ErrorKind::Internal,
                                      "the load has ended early",
                                      "report this to the operators" };
  // Also ends the wait of the other readers if the load throws.
  const std::shared_ptr<void> finish(nullptr,
                                     [&](void*) { Finish(aKey, result); });
  result = co_await aLoad();
  Result<SharedBytes> own = result;
  co_return own;
}

Awaitable<Result<SharedBytes>> SharedLoads::Await(
  std::shared_ptr<Pending> aPending)
{
  while (!aPending->mResult) {
    boost::system::error_code ignored;
    co_await aPending->mDone.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *aPending->mResult;
}

void SharedLoads::Finish(const std::string& aKey, Result<SharedBytes> aResult)
{
  const auto found = mEntries.find(aKey);
  const auto pending = std::exchange(found->second.mPending, nullptr);
  if (aResult.has_value()) {
    found->second.mLoaded = aResult->Observe();
  }
  pending->mResult = std::move(aResult);
  pending->mDone.cancel();
}

} // namespace agatetide::steps
