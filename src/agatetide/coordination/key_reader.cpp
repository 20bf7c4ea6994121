#include "agatetide/coordination/key_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace agatetide::coordination {

namespace asio = boost::asio;

/// A call of the store. Canceling the timer tells that it has ended.
struct KeyReader::Call
{
  explicit Call(const asio::any_io_executor& aExecutor)
    : mEnded(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  asio::steady_timer mEnded;
  std::optional<Result<std::optional<StoreEntry>>> mResult;
};

KeyReader::KeyReader(asio::any_io_executor aExecutor,
                     StoreCall aStore,
                     size_t aCount,
                     size_t aAhead,
                     std::function<std::string(size_t)> aKey)
  : mExecutor(std::move(aExecutor))
  , mStore(std::move(aStore))
  , mCount(aCount)
  , mAhead(aAhead)
  , mKey(std::move(aKey))
{
}

void KeyReader::StartCalls()
{
  while (mStarted < mCount && mCalls.size() < mAhead) {
    const auto call = std::make_shared<Call>(mExecutor);
    mCalls.push_back(call);
    // The call goes on if nobody waits for it any more.
    asio::co_spawn(mExecutor,
                   ReadKey(mStore, mKey(mStarted++)),
                   [call](std::exception_ptr aError,
                          Result<std::optional<StoreEntry>> aResult) {
                     if (aError) {
                       aResult = Error{ ErrorKind::Internal,
                                        "the call of the store has failed",
                                        "report this to the operators" };
                     }
                     call->mResult = std::move(aResult);
                     call->mEnded.cancel();
                   });
  }
}

Awaitable<Result<std::optional<StoreEntry>>> KeyReader::Next()
{
  StartCalls();
  const std::shared_ptr<Call> call = mCalls.front();
  while (!call->mResult) {
    boost::system::error_code ignored;
    co_await call->mEnded.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  mCalls.pop_front();
  StartCalls();
  co_return std::move(*call->mResult);
}

} // namespace agatetide::coordination
