#include "agatetide/steps/step_store.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::steps;

namespace {

struct Fixture
{
  StepRecord Record(const std::string& aOwner) const
  {
    StepRecord record;
    record.mId = "step";
    record.mAccount = "account";
    record.mOwner = aOwner;
    return record;
  }

  CreateResult Create(const std::string& aOwner)
  {
    const std::vector<StepItem> items(3);
    return RunCoroutine(mSteps.Create(Record(aOwner), items));
  }

  AppendOutcome Append(const StepRecord& aRecord,
                       uint32_t aEntry,
                       const std::string& aItem)
  {
    ItemResult result;
    result.mId = aItem;
    LogIndex index;
    for (uint32_t entry = 0; entry <= aEntry; ++entry) {
      index.Add(1);
    }
    return RunCoroutine(
      mSteps.Append(aRecord, index, EncodeResults({ result })));
  }

  FaultyStore mStore;
  StepStore mSteps{ mStore.AsCall(), {} };
};

} // namespace

// Guards against a step that runs twice because it was submitted to two
// daemons.
Test(step_store, a_step_is_created_once)
{
  Fixture fixture;
  const CreateResult first = fixture.Create("first");
  const CreateResult second = fixture.Create("second");
  cr_expect(first.mOutcome == CreateOutcome::Created);
  cr_expect(second.mOutcome == CreateOutcome::Exists);
  cr_expect_str_eq(second.mRecord.mOwner.c_str(), "first");
}

// Guards against refusing a step, which tells the trainer that it will not run,
// although the store has created it and only the response was lost.
Test(step_store, a_lost_answer_is_no_refusal)
{
  Fixture fixture;
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  cr_expect(fixture.Create("first").mOutcome == CreateOutcome::Unknown);
  const CreateResult again = fixture.Create("first");
  cr_expect(again.mOutcome == CreateOutcome::Exists);
  cr_expect_str_eq(again.mRecord.mOwner.c_str(), "first");
  fixture.mStore.mDefaultFault = StoreFault::Down;
  cr_expect(fixture.Create("first").mOutcome == CreateOutcome::NotCreated);
}

// Guards against a previous owner that appends results after its step was taken
// over: the positions of results would differ between daemons.
Test(step_store, an_owner_before_lists_nothing_after_a_take_over)
{
  Fixture fixture;
  const StepRecord previous = fixture.Create("first").mRecord;
  cr_assert(fixture.Append(previous, 0, "a") == AppendOutcome::Appended);
  StepRecord claim = previous;
  claim.mOwner = "second";
  const auto claimed = RunCoroutine(fixture.mSteps.Replace(claim));
  cr_assert(claimed.has_value() && claimed->has_value());
  cr_expect(fixture.Append(previous, 1, "b") == AppendOutcome::Superseded);
  cr_expect(fixture.Append(**claimed, 1, "c") == AppendOutcome::Appended);
  const auto log = RunCoroutine(fixture.mSteps.ReadWholeLog(previous));
  cr_assert_eq(log->mResults.size(), 2);
  cr_expect_str_eq(log->mResults[1].mId.c_str(), "c");
}

// Guards against appending a result twice, or mistaking the own entry for that
// of another process, when the response to an append was lost.
Test(step_store, a_lost_append_is_repeated_at_its_place)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(fixture.Append(record, 0, "a") == AppendOutcome::Unknown);
  cr_expect(fixture.Append(record, 0, "a") == AppendOutcome::Appended);
  const auto log = RunCoroutine(fixture.mSteps.ReadWholeLog(record));
  cr_expect_eq(log->mResults.size(), 1);
}

// Guards against two daemons that both take over the same step.
Test(step_store, one_claim_wins)
{
  Fixture fixture;
  StepRecord record = fixture.Create("first").mRecord;
  StepRecord other = record;
  record.mOwner = "second";
  other.mOwner = "third";
  const auto won = RunCoroutine(fixture.mSteps.Replace(record));
  const auto lost = RunCoroutine(fixture.mSteps.Replace(other));
  cr_expect(won.has_value() && won->has_value());
  cr_expect(lost.has_value() && !lost->has_value());
}

// Guards against crashing on a stored value that cannot be decoded.
Test(step_store, unreadable_values_are_errors)
{
  const std::string whole = EncodeRecord(StepRecord());
  for (size_t size = 0; size < whole.size(); ++size) {
    cr_expect(DecodeRecord(whole.substr(0, size)).has_error());
  }
  cr_expect(DecodeItems("\1\377\377\377\377\377\377\377\377").has_error());
}

namespace {

/// Items that fill several transactions of the store.
std::vector<StepItem> LargeItems(char aText = 'x')
{
  std::vector<StepItem> items(20);
  for (size_t i = 0; i < items.size(); ++i) {
    items[i].mId = "item-" + std::to_string(i);
    items[i].mBody = std::string(size_t{ 500 } << 10U, aText);
  }
  return items;
}

size_t CountKeys(Fixture& aFixture, const std::string& aPrefix)
{
  return RunCoroutine(ReadPrefix(aFixture.mStore.AsCall(), aPrefix))
    ->mEntries.size();
}

const std::string kItemKeys = "agatetide/step-items/";
const std::string kPendingKeys = "agatetide/step-pending/";

} // namespace

// Guards against a large step that the store cannot take in one transaction,
// and against items that differ from those submitted.
Test(step_store, a_large_step_is_stored_in_parts)
{
  Fixture fixture;
  size_t largest = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest& aRequest) {
    size_t bytes = 0;
    for (const StorePut& put : std::get<TransactionRequest>(aRequest).mPuts) {
      bytes += put.mValue.size();
    }
    largest = std::max(largest, bytes);
  };
  const std::vector<StepItem> items = LargeItems();
  const auto created =
    RunCoroutine(fixture.mSteps.Create(fixture.Record("first"), items));
  fixture.mStore.mBeforeCall = {};
  cr_assert(created.mOutcome == CreateOutcome::Created);
  cr_expect(largest < size_t{ 3 } << 20U, "%zu bytes", largest);
  const auto loaded = RunCoroutine(fixture.mSteps.LoadItems(created.mRecord));
  cr_assert(loaded.has_value());
  cr_expect(EncodeItems(*loaded) == EncodeItems(items));
  cr_expect_eq(CountKeys(fixture, kPendingKeys), 0);
  const auto again =
    RunCoroutine(fixture.mSteps.Create(fixture.Record("second"), items));
  cr_expect(again.mOutcome == CreateOutcome::Exists);
  cr_expect_str_eq(again.mRecord.mOwner.c_str(), "first");
}

// Guards against a step whose record is created although some of its items are
// missing, or are those of another submission with its id.
Test(step_store, a_large_step_has_all_items_whatever_fails)
{
  for (const StoreFault fault :
       { StoreFault::Down, StoreFault::AnswerLost, StoreFault::RequestLost }) {
    for (size_t call = 0; call < 4; ++call) {
      Fixture fixture;
      fixture.mStore.mNextFaults.assign(call, StoreFault::None);
      fixture.mStore.mNextFaults.push_back(fault);
      const std::vector<StepItem> items = LargeItems('a');
      const auto first =
        RunCoroutine(fixture.mSteps.Create(fixture.Record("first"), items));
      const bool stored =
        RunCoroutine(fixture.mSteps.Load("step"))->has_value();
      cr_expect(first.mOutcome != CreateOutcome::NotCreated || !stored);
      const std::vector<StepItem> others = LargeItems('b');
      const auto second =
        RunCoroutine(fixture.mSteps.Create(fixture.Record("second"), others));
      cr_assert(second.mOutcome ==
                (stored ? CreateOutcome::Exists : CreateOutcome::Created));
      const auto loaded =
        RunCoroutine(fixture.mSteps.LoadItems(second.mRecord));
      cr_expect(EncodeItems(*loaded) == EncodeItems(stored ? items : others));
    }
  }
}

// Guards against two submissions of one step at the same time, of which one
// overwrites items of the other after which the other creates the record.
Test(step_store, submissions_at_the_same_time_do_not_mix)
{
  for (size_t call = 1; call < 4; ++call) {
    Fixture fixture;
    size_t count = 0;
    std::optional<CreateResult> other;
    fixture.mStore.mBeforeCall = [&](const StoreRequest&) {
      if (count++ == call) {
        fixture.mStore.mBeforeCall = {};
        other = RunCoroutine(
          fixture.mSteps.Create(fixture.Record("other"), LargeItems('b')));
      }
    };
    const auto first = RunCoroutine(
      fixture.mSteps.Create(fixture.Record("first"), LargeItems('a')));
    cr_assert(other && other->mOutcome == CreateOutcome::Created);
    cr_expect(first.mOutcome == CreateOutcome::Exists);
    const auto loaded = RunCoroutine(fixture.mSteps.LoadItems(other->mRecord));
    cr_expect(EncodeItems(*loaded) == EncodeItems(LargeItems('b')));
  }
}

// Guards against items that stay in the store for good, since their submission
// ended before the record was created.
Test(step_store, items_of_abandoned_submissions_are_deleted)
{
  Fixture fixture;
  fixture.mStore.mNextFaults = { StoreFault::None,
                                 StoreFault::None,
                                 StoreFault::Down };
  StepRecord record = fixture.Record("first");
  record.mSubmittedMs = 1000;
  const auto created =
    RunCoroutine(fixture.mSteps.Create(record, LargeItems()));
  cr_assert(created.mOutcome == CreateOutcome::NotCreated);
  cr_expect_eq(CountKeys(fixture, kItemKeys), 8);
  cr_expect(
    RunCoroutine(fixture.mSteps.DeleteAbandonedItems(1000)).has_value());
  cr_expect_eq(CountKeys(fixture, kItemKeys), 8, "it may still be running");
  cr_expect(
    RunCoroutine(fixture.mSteps.DeleteAbandonedItems(1001)).has_value());
  cr_expect_eq(CountKeys(fixture, kItemKeys), 0);
  cr_expect_eq(CountKeys(fixture, kPendingKeys), 0);
}

// Guards against a record without items: they were deleted as abandoned while
// their submission was still being stored.
Test(step_store, a_submission_whose_items_were_deleted_creates_no_record)
{
  Fixture fixture;
  size_t count = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest&) {
    if (count++ == 2) {
      fixture.mStore.mBeforeCall = {};
      RunCoroutine(fixture.mSteps.DeleteAbandonedItems(1));
    }
  };
  const auto created =
    RunCoroutine(fixture.mSteps.Create(fixture.Record("first"), LargeItems()));
  cr_expect(created.mOutcome == CreateOutcome::NotCreated);
  cr_expect(!RunCoroutine(fixture.mSteps.Load("step"))->has_value());
}

// Guards against a page of results whose time grows with the log: only the
// entries that it needs are read, in calls of one key or one page each.
Test(step_store, results_are_read_from_their_entry_on)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  const std::vector<std::string> items{ "a", "b", "c" };
  for (uint32_t entry = 0; entry < items.size(); ++entry) {
    fixture.Append(record, entry, items[entry]);
  }
  size_t calls = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest& aRequest) {
    const auto& range = std::get<RangeRequest>(aRequest);
    cr_expect(range.mRangeEnd.empty() || range.mLimit > 0);
    ++calls;
  };
  const auto log = RunCoroutine(fixture.mSteps.LoadIndexedLog("step"));
  cr_assert(log.has_value() && log->has_value());
  cr_expect_eq((*log)->mIndex.EntryCount(), 3);
  cr_expect_str_eq((*log)->mRecord.mAccount.c_str(), "account");
  const LogPosition third = (*log)->mIndex.Find(2);
  const auto part = RunCoroutine(fixture.mSteps.ReadLog("step", third.mEntry));
  cr_expect_eq(calls, 2);
  cr_assert(!part->mResults.empty());
  cr_expect_str_eq(part->mResults[0].mId.c_str(), "c");
  const auto none = RunCoroutine(fixture.mSteps.ReadLog("step", 3));
  cr_expect_eq(none->EntryCount(), 0);
  const auto whole = RunCoroutine(fixture.mSteps.ReadWholeLog(record));
  cr_expect_eq(whole->mResults.size(), 3);
}

// Guards against an index that names an entry which was not appended, or stays
// in the store when its step is deleted.
Test(step_store, the_index_goes_with_its_log)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  fixture.Append(record, 0, "a");
  StepRecord claim = record;
  claim.mOwner = "second";
  RunCoroutine(fixture.mSteps.Replace(claim));
  cr_expect(fixture.Append(record, 1, "b") == AppendOutcome::Superseded);
  const auto log = RunCoroutine(fixture.mSteps.LoadIndexedLog("step"));
  cr_expect_eq((*log)->mIndex.EntryCount(), 1);
  RunCoroutine(fixture.mSteps.Delete(record, 1));
  cr_expect_eq(CountKeys(fixture, "agatetide/"), 0);
}

// Guards against a sweep that reads the logs of all complete steps.
Test(step_store, a_complete_step_is_known_by_its_index)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  for (uint32_t entry = 0; entry < 3; ++entry) {
    fixture.Append(record, entry, std::to_string(entry));
  }
  size_t calls = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest&) { ++calls; };
  const auto index = RunCoroutine(fixture.mSteps.LoadWholeIndex(record));
  cr_expect_eq(index->ResultCount(), record.mItemCount);
  cr_expect_eq(calls, 1);
}

namespace {

void Write(Fixture& aFixture, TransactionRequest aWrite)
{
  const StoreRequest request = std::move(aWrite);
  cr_assert(aFixture.mStore.Apply(request)->mSucceeded);
}

} // namespace

// Guards against results of older builds that are not counted, since they are
// not in the index.
Test(step_store, entries_that_the_index_lacks_are_counted)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  fixture.Append(record, 0, "a");
  ItemResult result;
  result.mId = "b";
  TransactionRequest append;
  append.mPuts.push_back(
    { "agatetide/step-log/step/000001", EncodeResults({ result }) });
  Write(fixture, std::move(append));
  const auto index = RunCoroutine(fixture.mSteps.LoadWholeIndex(record));
  cr_expect_eq(index->EntryCount(), 2);
}

// Guards against entries that stay in the store for good, since a deletion was
// interrupted after the first of them.
Test(step_store, an_interrupted_deletion_is_completed)
{
  constexpr uint32_t kEntries = 70;
  Fixture fixture;
  const auto created = RunCoroutine(fixture.mSteps.Create(
    fixture.Record("first"), std::vector<StepItem>(kEntries)));
  for (uint32_t entry = 0; entry < kEntries; ++entry) {
    fixture.Append(created.mRecord, entry, std::to_string(entry));
  }
  fixture.mStore.mNextFaults = { StoreFault::None, StoreFault::Down };
  cr_assert(
    RunCoroutine(fixture.mSteps.Delete(created.mRecord, kEntries)).has_error());
  const auto index =
    RunCoroutine(fixture.mSteps.LoadWholeIndex(created.mRecord));
  RunCoroutine(fixture.mSteps.Delete(created.mRecord, index->EntryCount()));
  cr_expect_eq(CountKeys(fixture, "agatetide/"), 0);
}

// Guards against positions and items of an earlier step with the same id, whose
// indexes an older build left when it deleted the step.
Test(step_store, a_new_step_has_no_index_of_an_earlier_one)
{
  Fixture fixture;
  LogIndex log;
  log.Add(95);
  ItemIndex items(100);
  items.Add("item", 7);
  TransactionRequest earlier;
  earlier.mPuts.push_back({ "agatetide/step-index/step",
                            EncodeIndexedLog(fixture.Record("old"), log) });
  earlier.mPuts.push_back({ "agatetide/step-item-index/step", items.Encode() });
  Write(fixture, std::move(earlier));
  fixture.Create("first");
  const auto index = RunCoroutine(fixture.mSteps.LoadIndexedLog("step"));
  cr_expect(!index->has_value());
  cr_expect_eq(CountKeys(fixture, "agatetide/step-item-index/"), 0);
}
