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
    return (**Run(mSteps.Load(aId)))->mOwner;
  }

  bool IsSent(const std::string& aItem) const
  {
    return std::count(mSent.begin(), mSent.end(), aItem) > 0;
  }

  /// Holds the reads of the items of a step.
  void HoldItemsOf(const std::string& aId)
  {
    mHolds = [aId](const StoreRequest& aRequest) {
      const auto* range = std::get_if<RangeRequest>(&aRequest);
      return range != nullptr &&
             range->mKey.starts_with("agatetide/step-items/" + aId + "/");
    };
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
  cr_expect_str_eq(fixture.OwnerOf("step").c_str(), kGone);
  cr_assert_eq(fixture.mService.Declined().size(), 1);
  cr_expect_geq(fixture.mService.Declined()[0].mBytes, kLargeBytes);
  cr_expect(fixture.mService.NeedsRecovery());
  fixture.LeaveMemory(3 * kLargeBytes);
  cr_expect(*fixture.Recover());
  cr_expect_str_eq(fixture.OwnerOf("step").c_str(), "owner");
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
  cr_expect_str_eq(fixture.OwnerOf("step").c_str(), "");
  cr_assert_eq(fixture.mService.Declined().size(), 1);
  cr_expect(fixture.mService.IsWanted("step"));
  fixture.LeaveMemory(3 * kLargeBytes);
  cr_expect(*fixture.Recover());
  cr_expect_str_eq(fixture.OwnerOf("step").c_str(), "owner");
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
  cr_expect_str_eq(fixture.OwnerOf("step").c_str(), "other");
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
