#pragma once

#include "agatetide/coordination/store.hpp"

#include <deque>
#include <string>
#include <vector>

namespace agatetide::coordination {

/// @brief The time before which a watch has told all changes: when it was
/// sent. Nothing for a watch that was cut before its time, since the store
/// may cut it after changes that it did not send.
std::optional<TimePoint> WatchFreshAsOf(const WatchReply& aReply,
                                        TimePoint aSent,
                                        TimePoint aNow,
                                        std::chrono::milliseconds aWait);

struct WatchHistoryOptions
{
  /// The newest changes are kept, up to both limits.
  size_t mMaxChanges = 256;
  size_t mMaxBytes = size_t{ 512 } << 10U;
};

/// @brief The latest changes under one prefix of the store, as this daemon's
/// own watch brought them, so that it can answer the watches of others.
/// Not thread-safe.
class WatchHistory
{
public:
  explicit WatchHistory(WatchHistoryOptions aOptions = {});

  /// @brief Records what a watch after aAfter has brought. A watch that does
  /// not continue from Revision() starts the history anew.
  void Record(int64_t aAfter, const WatchReply& aReply);

  /// @brief Whether all changes after the revision up to Revision() are kept.
  bool Covers(int64_t aAfter) const { return mKnown && aAfter >= mStart; }

  /// @brief The changes after a revision. Precondition: Covers(aAfter).
  std::vector<StoreChange> ChangesAfter(int64_t aAfter) const;

  /// @brief The revision up to which changes are known.
  int64_t Revision() const { return mRevision; }

  /// @brief All changes before this time have a revision up to Revision().
  TimePoint FreshAsOf() const { return mFreshAsOf; }

private:
  void Trim();

  WatchHistoryOptions mOptions;
  bool mKnown = false;
  /// Changes after this revision are kept.
  int64_t mStart = 0;
  int64_t mRevision = 0;
  TimePoint mFreshAsOf{};
  std::deque<StoreChange> mChanges;
  size_t mBytes = 0;
};

} // namespace agatetide::coordination
