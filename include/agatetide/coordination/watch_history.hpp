#pragma once

#include "agatetide/coordination/store.hpp"

#include <deque>
#include <string>
#include <vector>

namespace agatetide::coordination {

/// @brief The time before which a watch has reported all changes:
/// aReply.mFreshAsOf if set, otherwise when the watch was sent.
///
/// std::nullopt for a compacted watch and for one without changes that ended
/// before aWait, since the store may cut a watch before it has sent all
/// changes.
std::optional<TimePoint> WatchFreshAsOf(const WatchReply& aReply,
                                        TimePoint aSent,
                                        TimePoint aNow,
                                        std::chrono::milliseconds aWait);

struct WatchHistoryOptions
{
  /// The newest changes are kept within both limits.
  size_t mMaxChanges = 256;
  size_t mMaxBytes = size_t{ 512 } << 10U;
};

/// @brief The latest changes under one prefix of the store, received by this
/// daemon's own watch and kept to answer the watches of other daemons.
/// Not thread-safe.
class WatchHistory
{
public:
  explicit WatchHistory(WatchHistoryOptions aOptions = {});

  /// @brief Adds the reply to a watch after revision aAfter. If aAfter differs
  /// from Revision(), the history restarts at aAfter; a compacted reply clears
  /// it.
  void Record(int64_t aAfter, const WatchReply& aReply);

  /// @brief Whether all changes after aAfter up to Revision() are kept.
  bool Covers(int64_t aAfter) const { return mStarted && aAfter >= mStart; }

  /// @brief The changes after revision aAfter. Precondition: Covers(aAfter).
  std::vector<StoreChange> ChangesAfter(int64_t aAfter) const;

  /// @brief The revision up to which changes are known.
  int64_t Revision() const { return mRevision; }

  /// @brief All changes before this time have a revision up to Revision().
  TimePoint FreshAsOf() const { return mFreshAsOf; }

private:
  void Trim();

  WatchHistoryOptions mOptions;
  bool mStarted = false;
  /// Changes after this revision are kept.
  int64_t mStart = 0;
  int64_t mRevision = 0;
  TimePoint mFreshAsOf{};
  std::deque<StoreChange> mChanges;
  size_t mBytes = 0;
};

} // namespace agatetide::coordination
