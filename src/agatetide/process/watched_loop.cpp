#include "watched_loop.hpp"

#include <boost/asio/post.hpp>

#include <new>
#include <utility>

namespace agatetide::process {

namespace {

/// Time after which a loop that does not respond is logged.
constexpr Milliseconds kStallTime{ 2000 };

} // namespace

struct WatchedLoop::Response
{
  /// Called by the loop.
  void Arrive()
  {
    mArrived = true;
    if (mActivity) {
      const std::lock_guard lock(mMutex);
      mText = mActivity();
    }
  }

  std::function<std::string()> mActivity;
  std::atomic<bool> mArrived{ true };
  std::mutex mMutex;
  std::string mText;
};

WatchedLoop::WatchedLoop(boost::asio::io_context& aLoop,
                         std::string_view aName,
                         std::function<std::string()> aActivity)
  : mLoop(aLoop)
  , mName(aName)
  , mResponse(std::make_shared<Response>())
{
  mResponse->mActivity = std::move(aActivity);
}

Duration WatchedLoop::Check()
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (!mResponse->mArrived) {
    return now - mAskedAt;
  }
  mResponse->mArrived = false;
  mAskedAt = now;
  try {
    boost::asio::post(mLoop, [response = mResponse] { response->Arrive(); });
  } catch (const std::bad_alloc&) {
    mResponse->mArrived = true; // It was not asked.
  }
  return Duration::zero();
}

std::string WatchedLoop::LastActivity() const
{
  const std::lock_guard lock(mResponse->mMutex);
  return mResponse->mText;
}

bool WatchedLoop::IsNewStall(Duration aStalled)
{
  const bool stalled = aStalled > kStallTime;
  const bool isNew = stalled && !mStalled;
  mStalled = stalled;
  return isNew;
}

} // namespace agatetide::process
