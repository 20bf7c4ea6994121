#include "agatetide/coordination/lease.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

struct Fixture
{
  Lease MakeLease(const std::string& aHolder)
  {
    LeaseOptions options;
    options.mKey = "duty";
    options.mHolder = aHolder;
    return Lease::Create(options, mStore.AsCall(), mStore.mClock.AsClock())
      .value();
  }

  bool AcquireOrRenew(Lease& aLease)
  {
    const auto renewed = RunCoroutine(aLease.AcquireOrRenew());
    return renewed.has_value() && *renewed;
  }

  FaultyStore mStore;
};

} // namespace

// Guards against two lease holders at a time, and against a successor whose
// fencing token does not exceed that of its predecessor.
Test(lease, a_successor_waits_and_gets_a_higher_fencing_number)
{
  Fixture fixture;
  Lease first = fixture.MakeLease("first");
  Lease second = fixture.MakeLease("second");
  cr_assert(fixture.AcquireOrRenew(first));
  const int64_t token = first.FencingToken();
  cr_assert(!fixture.AcquireOrRenew(second));
  fixture.mStore.mClock.Advance(std::chrono::seconds(6));
  cr_assert(!first.IsHeld());
  cr_assert(fixture.AcquireOrRenew(second));
  cr_assert_gt(second.FencingToken(), token);
}

// Guards against a lease holder that does not know that it acquired the lease,
// because the reply to the create was lost.
Test(lease, a_lost_create_answer_is_read_back)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  fixture.mStore.mNextFaults = { StoreFault::None,
                                 StoreFault::None,
                                 StoreFault::AnswerLost };
  cr_assert(fixture.AcquireOrRenew(lease));
  cr_assert(lease.IsHeld());
}

// Guards against treating a create that was lost as successful.
Test(lease, a_create_that_took_no_effect_is_not_held)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  fixture.mStore.mNextFaults = { StoreFault::None,
                                 StoreFault::None,
                                 StoreFault::RequestLost };
  cr_assert(!fixture.AcquireOrRenew(lease));
  cr_assert(!lease.IsHeld());
}

// Guards against a lease that its process can neither renew nor acquire again,
// because the store has the key but the read-back failed.
Test(lease, a_lease_orphaned_by_a_failed_read_back_is_revoked)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  fixture.mStore.mNextFaults = {
    StoreFault::None, StoreFault::None, StoreFault::AnswerLost, StoreFault::Down
  };
  cr_assert(!fixture.AcquireOrRenew(lease));
  cr_assert(!lease.IsHeld());
  cr_assert(fixture.AcquireOrRenew(lease));
}

// Guards against extending a lease by a renewal whose reply was lost, and
// against giving it up before it has expired.
Test(lease, a_lost_keep_alive_answer_neither_extends_nor_ends_the_tenure)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  cr_assert(fixture.AcquireOrRenew(lease));
  const int64_t token = lease.FencingToken();
  fixture.mStore.mClock.Advance(std::chrono::seconds(3));
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(!fixture.AcquireOrRenew(lease));
  cr_assert(lease.IsHeld());
  fixture.mStore.mClock.Advance(std::chrono::seconds(2));
  cr_assert(lease.IsHeld());
  cr_assert(fixture.AcquireOrRenew(lease));
  cr_assert_eq(lease.FencingToken(), token);
}

// Guards against a lease holder that uses its old fencing token again after a
// pause longer than the local expiry, because the store still has the lease.
Test(lease, a_tenure_that_lapsed_in_a_pause_does_not_resume)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  cr_assert(fixture.AcquireOrRenew(lease));
  const int64_t token = lease.FencingToken();
  fixture.mStore.mClock.Advance(std::chrono::seconds(3));
  fixture.mStore.mNextFaults = { StoreFault::AnswerLost };
  fixture.AcquireOrRenew(lease);
  fixture.mStore.mClock.Advance(std::chrono::milliseconds(2600));
  cr_assert(!lease.IsHeld());
  cr_assert(!fixture.AcquireOrRenew(lease));
  cr_assert(!lease.IsHeld());
  cr_assert(fixture.AcquireOrRenew(lease));
  cr_assert_gt(lease.FencingToken(), token);
}

// Guards against a late reply that extends the lease past its expiry in the
// store.
Test(lease, the_expiry_counts_from_before_the_renewal_was_sent)
{
  Fixture fixture;
  Lease lease = fixture.MakeLease("first");
  cr_assert(fixture.AcquireOrRenew(lease));
  fixture.mStore.mBeforeCall = [&](const StoreRequest&) {
    fixture.mStore.mClock.Advance(std::chrono::seconds(2));
  };
  cr_assert(fixture.AcquireOrRenew(lease));
  fixture.mStore.mClock.Advance(std::chrono::milliseconds(3499));
  cr_assert(lease.IsHeld());
  fixture.mStore.mClock.Advance(std::chrono::milliseconds(1));
  cr_assert(!lease.IsHeld());
}
