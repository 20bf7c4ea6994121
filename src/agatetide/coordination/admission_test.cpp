#include "agatetide/coordination/admission.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

Result<Admission> AdmitAttempt(FaultyStore& aStore, const std::string& aNonce)
{
  AdmissionKey key{ "account", "request" };
  AdmissionRecord record{ "daemon " + aNonce, 1, aNonce, 7 };
  return RunCoroutine(
    Admit(aStore.AsCall(), std::move(key), std::move(record), 0));
}

} // namespace

// Guards against running a request twice when the caller also sends it through
// another daemon.
Test(admission, only_one_attempt_is_admitted)
{
  FaultyStore store;
  cr_assert(AdmitAttempt(store, "a")->mOutcome == AdmissionOutcome::Admitted);
  const auto second = AdmitAttempt(store, "b");
  cr_assert(second->mOutcome == AdmissionOutcome::Duplicate);
  cr_assert_eq(second->mRecord.mNonce, "a");
  cr_assert_eq(second->mRecord.mFingerprint, 7);
}

// Guards against refusing a request forever because the reply to the creation
// of its own record was lost.
Test(admission, a_lost_answer_is_read_back)
{
  FaultyStore store;
  store.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(AdmitAttempt(store, "a")->mOutcome == AdmissionOutcome::Admitted);
}

// Guards against mistaking another attempt's record for one's own after a lost
// reply.
Test(admission, a_lost_answer_of_a_lost_race_is_a_duplicate)
{
  FaultyStore store;
  cr_assert(AdmitAttempt(store, "a").has_value());
  store.mNextFaults = { StoreFault::AnswerLost };
  cr_assert(AdmitAttempt(store, "b")->mOutcome == AdmissionOutcome::Duplicate);
}

// Guards against dispatching when it is unknown whether the record exists, and
// against reporting "not run" although the record may still lead to a dispatch.
Test(admission, an_unreadable_outcome_is_never_dispatched)
{
  FaultyStore store;
  store.mNextFaults = { StoreFault::AnswerLost, StoreFault::Down };
  cr_assert(AdmitAttempt(store, "a")->mOutcome == AdmissionOutcome::Undecided);
  cr_assert(AdmitAttempt(store, "b")->mOutcome == AdmissionOutcome::Duplicate);
}

// Guards against admitting requests while the store is unavailable.
Test(admission, a_store_that_is_down_admits_nothing)
{
  FaultyStore store;
  store.mDefaultFault = StoreFault::Down;
  cr_assert(AdmitAttempt(store, "a").error().mExecution == Execution::NotRun);
  store.mDefaultFault = StoreFault::RequestLost;
  cr_assert(AdmitAttempt(store, "a")->mOutcome == AdmissionOutcome::Undecided);
}

// Guards against requests of two accounts that share one record, also when an
// account or request id contains the separator.
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
