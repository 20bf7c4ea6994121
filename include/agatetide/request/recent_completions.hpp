#pragma once

#include "agatetide/base/clock.hpp"

#include <deque>
#include <string>
#include <unordered_map>

namespace agatetide::request {

struct RecentCompletionsOptions
{
  Milliseconds mRetention{ std::chrono::minutes(1) };
  size_t mMaxRequests = 8192;
};

/// @brief Remembers which requests were answered lately, by digest. A crash of
/// a replica is not blamed on those: a frequent request runs on many replicas,
/// and would be blamed for each crash that another one causes. Not
/// thread-safe.
class RecentCompletions
{
public:
  RecentCompletions(RecentCompletionsOptions aOptions, Clock aClock);

  void Record(const std::string& aDigest);
  bool Contains(const std::string& aDigest) const;

private:
  RecentCompletionsOptions mOptions;
  Clock mClock;
  std::unordered_map<std::string, TimePoint> mCompletedAt;
  /// Digests in the order in which they were first recorded.
  std::deque<std::string> mOrder;
};

} // namespace agatetide::request
