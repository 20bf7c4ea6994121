#include "agatetide/steps/step_service.hpp"

#include "agatetide/steps/test_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::steps;

namespace {

constexpr size_t kSmallBytes = 1000;
constexpr size_t kLargeBytes = size_t{ 3 } << 20U;
constexpr const char* kGone = "gone";

/// A service whose store has steps of a host that is gone.
struct Fixture : TestRunner
{
  Fixture()
    : TestRunner(false, 4)
  {
  }

  /// Stores a step of one item.
  StepRecord Store(const std::string& aId,
                   size_t aBytes,
                   const std::string& aOwner = kGone)
  {
    StepRecord record;
    record.mId = aId;
    record.mAccount = "account";
    record.mHttpHost = "host";
    record.mPath = "/";
    record.mModel = "model";
    record.mDesiredGroups = 1;
    record.mSubmittedMs = mWallClock();
    record.mOwner = aOwner;
    auto items = MakeItems({ 40 });
    items[0].mId = aId + "-item";
    items[0].mBody = std::string(aBytes, 'b');
    const auto created = Run(mSteps.Create(record, items));
    cr_assert(created->mOutcome == CreateOutcome::Created);
    return created->mRecord;
  }

  /// Leaves the service memory for aFree bytes.
  void LeaveMemory(size_t aFree)
  {
    mTaken.Reset();
    cr_assert(mTaken.Grow(SIZE_MAX - aFree));
  }

  /// Runs a call as far as it gets; std::nullopt if it waits.
  template<class T>
  std::optional<T> Run(Awaitable<T> aCall)
  {
    const auto result = std::make_shared<std::optional<T>>();
    asio::co_spawn(mContext,
                   std::move(aCall),
                   [result](std::exception_ptr aError, T aResult) {
                     if (!aError) {
                       result->emplace(std::move(aResult));
                     }
                   });
    Poll();
    return *result;
  }

  std::optional<bool> Recover()
  {
    return Run(mService.Recover(
      { "owner" }, [](const StepRecord&) { return true; }, false));
  }

  std::string OwnerOf(const std::string& aId)
  {
    return DecodeRecord(StoredRecord(aId).mValue).value().mOwner;
  }

  bool IsSent(const std::string& aItem) const
  {
    return std::count(mSent.begin(), mSent.end(), aItem) > 0;
  }

  /// Holds the reads of the items of a step.
  void HoldItemsOf(const std::string& aId)
  {
    mHolds = ReadsOf("agatetide/step-items/" + aId + "/");
  }

  static std::function<bool(const StoreRequest&)> ReadsOf(std::string aPrefix)
  {
    return [prefix = std::move(aPrefix)](const StoreRequest& aRequest) {
      const auto* range = std::get_if<RangeRequest>(&aRequest);
      return range != nullptr && range->mKey.starts_with(prefix);
    };
  }

  /// Changes the stored record of a step as another host does.
  void Change(const std::string& aId, std::function<void(StepRecord&)> aChange)
  {
    StepRecord record = DecodeRecord(StoredRecord(aId).mValue).value();
    aChange(record);
    TransactionRequest write;
    write.mPuts.push_back({ "agatetide/step/" + aId, EncodeRecord(record) });
    mStore.Apply(write);
  }

  StoreEntry StoredRecord(const std::string& aId)
  {
    return mStore.Apply(RangeRequest{ "agatetide/step/" + aId, "", 0 })
      .value()
      .mEntries.at(0);
  }

  MemoryReservation mTaken{ mItemBudget };
  StepService mService{ mStepContext, mRunner };
};

} // namespace

// Guards against a host that becomes the owner of a step that it cannot hold,
// and keeps it, so that no host runs it.
Test(step_service, a_step_without_room_is_not_claimed)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.LeaveMemory(kLargeBytes / 2);
  cr_expect(!*fixture.Recover());
  cr_expect(fixture.OwnerOf("step") == kGone);
  cr_assert_eq(fixture.mService.Declined().size(), 1);
  cr_expect_geq(fixture.mService.Declined()[0].mBytes, kLargeBytes);
  cr_expect(fixture.mService.NeedsRecovery());
  fixture.LeaveMemory(3 * kLargeBytes);
  cr_expect(*fixture.Recover());
  cr_expect(fixture.OwnerOf("step") == "owner");
  cr_expect(fixture.IsSent("step-item"));
  cr_expect(fixture.mService.Declined().empty());
}

// Guards against a step that names a host as its owner which finds no room for
// it, after a restart or a claim without an answer.
Test(step_service, a_step_of_this_host_without_room_is_handed_back)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes, "owner");
  fixture.LeaveMemory(kLargeBytes / 2);
  cr_expect(!*fixture.Recover());
  cr_expect(fixture.OwnerOf("step").empty());
  cr_assert_eq(fixture.mService.Declined().size(), 1);
  cr_expect(fixture.mService.IsWanted("step"));
  fixture.LeaveMemory(3 * kLargeBytes);
  cr_expect(*fixture.Recover());
  cr_expect(fixture.OwnerOf("step") == "owner");
  cr_expect(fixture.IsSent("step-item"));
}

// Guards against a host that goes on asking for a step which another host runs.
Test(step_service, a_step_that_another_host_has_taken_is_not_wanted)
{
  Fixture fixture;
  StepRecord record = fixture.Store("step", kLargeBytes);
  fixture.LeaveMemory(kLargeBytes / 2);
  fixture.Recover();
  record.mOwner = "other";
  fixture.Run(fixture.mSteps.Replace(record));
  const auto recovered = fixture.Run(fixture.mService.Recover(
    { "owner", "other" }, [](const StepRecord&) { return true; }, false));
  cr_expect(*recovered);
  cr_expect(!fixture.mService.NeedsRecovery());
  cr_expect(fixture.OwnerOf("step") == "other");
}

// Guards against small steps that wait at no replica while a large one that was
// taken over with them is loaded, and against one that is loaded twice.
Test(step_service, small_steps_do_not_wait_for_large_ones)
{
  Fixture fixture;
  fixture.Store("a-large", kLargeBytes);
  fixture.Store("small", kSmallBytes);
  fixture.HoldItemsOf("a-large");
  cr_expect(fixture.Recover().has_value(), "the next scan need not wait");
  cr_expect(fixture.IsSent("small-item"));
  cr_expect(!fixture.IsSent("a-large-item"));
  const int held = fixture.mHeldCount;
  cr_expect(fixture.Recover().has_value());
  cr_expect_eq(fixture.mHeldCount, held);
  fixture.Release();
  cr_expect(fixture.IsSent("a-large-item"));
}

// Guards against items that run after the acknowledged end of their step, since
// the host that loads it knows only the record from before the load.
Test(step_service, a_step_that_ends_while_it_is_loaded_is_not_run)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.HoldItemsOf("step");
  fixture.Recover();
  cr_expect(fixture.OwnerOf("step") == "owner");
  fixture.Change("step", [](StepRecord& aRecord) { aRecord.mEnded = true; });
  fixture.Release();
  cr_expect(!fixture.IsSent("step-item"));
  cr_expect(!fixture.mRunner.Find("step"));
  cr_expect_eq(fixture.mItemBudget->Used(), 0, "its memory is free again");
  cr_expect(*fixture.Recover());
  cr_expect(!fixture.IsSent("step-item"));
}

// Guards against an end that only the store is told of, at the host that loads
// the step.
Test(step_service, an_end_at_the_host_that_loads_the_step_is_seen)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.HoldItemsOf("step");
  fixture.Recover();
  cr_assert(fixture.Run(fixture.mService.End("step", "account")).has_value());
  fixture.Release();
  cr_expect(!fixture.IsSent("step-item"));
}

// Guards against two hosts that run a step, since one of them took it over
// while the other one was loading it.
Test(step_service, a_step_with_a_newer_owner_is_not_run)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.HoldItemsOf("step");
  fixture.Recover();
  fixture.Change("step", [](StepRecord& aRecord) { aRecord.mOwner = "other"; });
  fixture.Release();
  cr_expect(!fixture.IsSent("step-item"));
  cr_expect(!fixture.mRunner.Find("step"));
}

// Guards against results that are lost, since another host owned the step for a
// time while this one was loading it, and appended to its log.
Test(step_service, a_step_that_came_back_is_loaded_again)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.HoldItemsOf("step");
  fixture.Recover();
  fixture.Change("step", [](StepRecord&) {});
  fixture.Release();
  cr_expect(!fixture.IsSent("step-item"));
  cr_expect(fixture.mService.NeedsRecovery());
  cr_expect(*fixture.Recover());
  cr_expect(fixture.IsSent("step-item"));
}

// Guards against items that start although the store does not tell whether
// their step has ended, and against a step that is lost when it does not answer
// once.
Test(step_service, items_start_only_when_the_store_has_answered)
{
  Fixture fixture;
  fixture.Store("step", kLargeBytes);
  fixture.HoldItemsOf("step");
  fixture.Recover();
  fixture.mFails = Fixture::ReadsOf("agatetide/step/step");
  fixture.Release();
  cr_expect(!fixture.IsSent("step-item"));
  fixture.mFails = nullptr;
  fixture.mContext.restart();
  fixture.mContext.run_for(Milliseconds(400));
  cr_expect(fixture.IsSent("step-item"));
}

// Guards against a host that loads its own step while it is being submitted, so
// that its items take twice their memory and the next step is refused.
Test(step_service, a_step_that_is_being_submitted_is_not_taken_over)
{
  Fixture fixture;
  StepSubmission submission;
  submission.mId = "step";
  submission.mAccount = "account";
  submission.mHttpHost = "host";
  submission.mPath = "/";
  submission.mModel = "model";
  submission.mDesiredGroups = 1;
  submission.mItems = MakeItems({ 40 });
  submission.mItems[0].mId = "step-item";
  submission.mItems[0].mBody = std::string(kLargeBytes, 'b');
  fixture.LeaveMemory(2 * kLargeBytes);
  const size_t before = fixture.mItemBudget->Used();
  fixture.mHoldsReplies = [](const StoreRequest& aRequest) {
    return std::holds_alternative<TransactionRequest>(aRequest);
  };
  cr_assert(!fixture.Run(fixture.mService.Submit(
    submission, fixture.mClock() + std::chrono::seconds(5))));
  const size_t submitting = fixture.mItemBudget->Used();
  while (fixture.mHeldCount > 0 && !fixture.mRunner.Find("step")) {
    // Each transaction of the step is stored before its reply arrives.
    cr_expect(*fixture.Recover());
    cr_expect_eq(fixture.mItemBudget->Used(), submitting);
    fixture.mHeldCount = 0;
    fixture.mHeld.cancel();
    fixture.Poll();
  }
  cr_expect(fixture.mRunner.Find("step") != nullptr);
  cr_expect_leq(fixture.mItemBudget->Used() - before, submitting - before);
  cr_expect(*fixture.Recover());
  cr_expect_eq(
    std::count(fixture.mSent.begin(), fixture.mSent.end(), "step-item"), 1);
}
