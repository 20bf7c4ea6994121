#include "agatetide/steps/step_store.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

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

  CreateReply Create(const std::string& aOwner)
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
    return RunCoroutine(
      mSteps.Append(aRecord, aEntry, EncodeResults({ result })));
  }

  FaultyStore mStore;
  StepStore mSteps{ mStore.AsCall(), {} };
};

} // namespace

// Guards against a step that runs twice because it was handed in at two
// daemons.
Test(step_store, a_step_is_created_once)
{
  Fixture fixture;
  const CreateReply first = fixture.Create("first");
  const CreateReply second = fixture.Create("second");
  cr_expect(first.mOutcome == CreateOutcome::Kept);
  cr_expect(second.mOutcome == CreateOutcome::Exists);
  cr_expect_str_eq(second.mRecord.mOwner.c_str(), "first");
}

// Guards against a refusal ("nothing runs") of a step that the store keeps.
Test(step_store, a_lost_answer_is_no_refusal)
{
  Fixture fixture;
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  cr_expect(fixture.Create("first").mOutcome == CreateOutcome::Unknown);
  const CreateReply again = fixture.Create("first");
  cr_expect(again.mOutcome == CreateOutcome::Exists);
  cr_expect_str_eq(again.mRecord.mOwner.c_str(), "first");
  fixture.mStore.mDefaultFault = StoreFault::Down;
  cr_expect(fixture.Create("first").mOutcome == CreateOutcome::NotKept);
}

// Guards against an owner that lists results after its step was taken over:
// positions would differ between daemons.
Test(step_store, an_owner_before_lists_nothing_after_a_take_over)
{
  Fixture fixture;
  const StepRecord before = fixture.Create("first").mRecord;
  cr_assert(fixture.Append(before, 0, "a") == AppendOutcome::Listed);
  StepRecord claim = before;
  claim.mOwner = "second";
  const auto claimed = RunCoroutine(fixture.mSteps.Replace(claim));
  cr_assert(claimed.has_value() && claimed->has_value());
  cr_expect(fixture.Append(before, 1, "b") == AppendOutcome::Superseded);
  cr_expect(fixture.Append(**claimed, 1, "c") == AppendOutcome::Listed);
  const auto log = RunCoroutine(fixture.mSteps.ReadLog("step", 0));
  cr_assert_eq(log->mResults.size(), 2);
  cr_expect_str_eq(log->mResults[1].mId.c_str(), "c");
}

// Guards against a result that is listed twice, or an owner that takes its
// own entry for another's, when the answer of an append was lost.
Test(step_store, a_lost_append_is_repeated_at_its_place)
{
  Fixture fixture;
  const StepRecord record = fixture.Create("first").mRecord;
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(fixture.Append(record, 0, "a") == AppendOutcome::Retry);
  cr_expect(fixture.Append(record, 0, "a") == AppendOutcome::Listed);
  const auto log = RunCoroutine(fixture.mSteps.ReadLog("step", 0));
  cr_expect_eq(log->mResults.size(), 1);
}

// Guards against two daemons that both take over a step.
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

// Guards against a process that ends on a value of the store that it cannot
// read.
Test(step_store, unreadable_values_are_errors)
{
  const std::string whole = EncodeRecord(StepRecord());
  for (size_t size = 0; size < whole.size(); ++size) {
    cr_expect(DecodeRecord(whole.substr(0, size)).has_error());
  }
  cr_expect(DecodeItems("\1\377\377\377\377\377\377\377\377").has_error());
}
