#include "agatetide/request/recent_completions.hpp"

namespace agatetide::request {

RecentCompletions::RecentCompletions(RecentCompletionsOptions aOptions,
                                     Clock aClock)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
{
}

void RecentCompletions::Record(const std::string& aDigest)
{
  if (mCompletedAt.insert_or_assign(aDigest, mClock()).second) {
    mOrder.push_back(aDigest);
  }
  if (mOrder.size() > mOptions.mMaxRequests) {
    mCompletedAt.erase(mOrder.front());
    mOrder.pop_front();
  }
}

bool RecentCompletions::Contains(const std::string& aDigest) const
{
  const auto found = mCompletedAt.find(aDigest);
  return found != mCompletedAt.end() &&
         mClock() - found->second <= mOptions.mRetention;
}

} // namespace agatetide::request
