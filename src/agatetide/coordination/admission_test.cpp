#include "agatetide/coordination/admission.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

Result<Admission> Try(FaultyStore& aStore, const std::string& aNonce)
{
  AdmissionKey key{ "account", "request" };
  AdmissionRecord record{ "daemon " + aNonce, 1, aNonce, 7 };
  return RunCoroutine(
    Admit(aStore.AsCall(), std::move(key), std::move(record), 0));
}

} // namespace

// Guards against running a request twice when a copy comes through another
// daemon.
Test(admission, only_one_attempt_is_admitted)
{
  FaultyStore store;
  cr_assert(Try(store, "a")->mOutcome == AdmissionOutcome::Admitted);
  const auto second = Try(store, "b");
  cr_assert(second->mOutcome == AdmissionOutcome::Duplicate);
  cr_assert_eq(second->mRecord.mNonce, "a");
  cr_assert_eq(second->mRecord.mFingerprint, 7);
}

// Guards against refusing for ever a request whose record this attempt made.
Test(admission, a_lost_answer_is_read_back)
{
  FaultyStore store;
  store.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(Try(store, "a")->mOutcome == AdmissionOutcome::Admitted);
}

// Guards against taking another attempt's record for the own one.
Test(admission, a_lost_answer_of_a_lost_race_is_a_duplicate)
{
  FaultyStore store;
  cr_assert(Try(store, "a").has_value());
  store.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(Try(store, "b")->mOutcome == AdmissionOutcome::Duplicate);
}

// Guards against dispatching without a record, and against "not run" that
// turns untrue: the next attempt must not run either.
Test(admission, an_unreadable_outcome_is_never_dispatched)
{
  FaultyStore store;
  store.mNextFaults = { StoreFault::AnswerLost, StoreFault::Down };
  cr_assert(Try(store, "a")->mOutcome == AdmissionOutcome::Undecided);
  cr_assert(Try(store, "b")->mOutcome == AdmissionOutcome::Duplicate);
}

// Guards against admitting requests while the store is down.
Test(admission, a_store_that_is_down_admits_nothing)
{
  FaultyStore store;
  store.mDefaultFault = StoreFault::Down;
  cr_assert(Try(store, "a").error().mExecution == Execution::NotRun);
  store.mDefaultFault = StoreFault::RequestLost;
  cr_assert(Try(store, "a")->mOutcome == AdmissionOutcome::Undecided);
}

// Guards against two accounts, or an id with a separator in it, meeting in
// one record.
Test(admission, ids_of_different_accounts_do_not_meet)
{
  FaultyStore store;
  const auto admit = [&](AdmissionKey aKey) {
    AdmissionRecord record{ "d", 1, aKey.mAccount + aKey.mRequestId, 7 };
    return RunCoroutine(
      Admit(store.AsCall(), std::move(aKey), std::move(record), 0));
  };
  cr_assert(admit({ "a", "b/c" })->mOutcome == AdmissionOutcome::Admitted);
  cr_assert(admit({ "a/b", "c" })->mOutcome == AdmissionOutcome::Admitted);
  cr_assert(admit({ "a", "" }).has_error());
}
