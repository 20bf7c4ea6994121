#include "agatetide/coordination/watch_history.hpp"
#include "agatetide/coordination/watch_messages.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

constexpr std::chrono::milliseconds kWait{ 1000 };

WatchReply ReplyWith(std::initializer_list<int64_t> aRevisions,
                     int64_t aRevision)
{
  WatchReply reply;
  reply.mRevision = aRevision;
  for (const int64_t revision : aRevisions) {
    StoreChange change;
    change.mEntry.mKey = "key" + std::to_string(revision);
    change.mEntry.mValue = "value";
    change.mEntry.mModRevision = revision;
    reply.mChanges.push_back(change);
  }
  return reply;
}

} // namespace

// Guards against a gap in the changes that are sent to another daemon.
Test(watch_history, covers_only_what_it_has_followed_without_a_gap)
{
  WatchHistory history;
  cr_expect(!history.Covers(0));
  history.Record(4, ReplyWith({ 5, 7 }, 8));
  cr_expect(!history.Covers(3));
  cr_expect(history.Covers(4));
  cr_expect(history.ChangesAfter(4).size() == 2);
  cr_expect(history.ChangesAfter(5).size() == 1);
  history.Record(8, ReplyWith({ 9 }, 9));
  cr_expect(history.ChangesAfter(4).size() == 3);
  // The watch continues at a later revision after all keys were read again.
  history.Record(20, ReplyWith({ 21 }, 21));
  cr_expect(!history.Covers(9));
  cr_expect(history.ChangesAfter(20).size() == 1);
  WatchReply compacted;
  compacted.mCompacted = true;
  history.Record(21, compacted);
  cr_expect(!history.Covers(21));
}

// Guards against unbounded memory under many changes, and against keeping only
// some changes of a transaction when the oldest ones are dropped.
Test(watch_history, drops_the_oldest_changes_by_whole_revisions)
{
  WatchHistory history({ 2, 1024 });
  history.Record(0, ReplyWith({ 1, 2, 2, 3 }, 3));
  cr_expect(!history.Covers(1));
  cr_expect(history.Covers(2));
  cr_expect(history.ChangesAfter(2).size() == 1);
}

// Guards against treating a watch that ended early as fresh.
Test(watch_history, a_watch_that_was_cut_proves_nothing)
{
  const TimePoint sent{ std::chrono::hours(1) };
  cr_expect(!WatchFreshAsOf({}, sent, sent + kWait / 2, kWait));
  cr_expect(WatchFreshAsOf({}, sent, sent + kWait, kWait) == sent);
  const WatchReply withChange = ReplyWith({ 1 }, 1);
  cr_expect(WatchFreshAsOf(withChange, sent, sent, kWait) == sent);
}

// Guards against a crash on a truncated message or one of another version.
Test(watch_messages, are_read_back_and_malformed_ones_refused)
{
  const std::string bytes = Encode(PeerWatchRequest{ "op/", 17, 900 });
  const auto request = DecodePeerWatchRequest(bytes);
  cr_assert(request.has_value());
  cr_expect(request->mPrefix == "op/");
  cr_expect(request->mAfterRevision == 17);
  PeerWatchReply reply;
  reply.mChanges = ReplyWith({ 3 }, 3).mChanges;
  reply.mStalenessMs = 40;
  const std::string answer = Encode(reply);
  const auto decoded = DecodePeerWatchReply(answer);
  cr_assert(decoded.has_value());
  cr_expect(decoded->mChanges.front().mEntry.mKey == "key3");
  cr_expect(decoded->mStalenessMs == 40);
  for (size_t length = 0; length < answer.size(); ++length) {
    cr_assert(DecodePeerWatchReply(answer.substr(0, length)).has_error());
  }
  cr_expect(DecodePeerWatchReply(answer + "x").has_error());
}
