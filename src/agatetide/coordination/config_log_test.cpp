#include "agatetide/coordination/config_log.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

ConfigWrite MakeWrite(const std::string& aId,
                      const std::string& aValue,
                      int64_t aExpected)
{
  ConfigWrite write;
  write.mChangeId = aId;
  write.mObject = "route/x";
  write.mValue = aValue;
  write.mExpectedObjectVersion = aExpected;
  return write;
}

Result<ConfigChange> StoreWrite(FaultyStore& aStore, ConfigWrite aWrite)
{
  return RunCoroutine(WriteConfig(aStore.AsCall(), std::move(aWrite)));
}

std::vector<ConfigChange> Changes(int64_t aFirst, int64_t aLast)
{
  std::vector<ConfigChange> changes;
  for (int64_t version = aFirst; version <= aLast; ++version) {
    changes.push_back({ version, "id", "route/x", false, "v" });
  }
  return changes;
}

} // namespace

// Guards against a change that overwrites another that its operator has not
// seen.
Test(config_log, two_operators_race_and_one_gets_a_conflict)
{
  FaultyStore store;
  cr_assert_eq(StoreWrite(store, MakeWrite("a", "1", 0))->mVersion, 1);
  cr_assert_eq(StoreWrite(store, MakeWrite("b", "2", 1))->mVersion, 2);
  const auto late = StoreWrite(store, MakeWrite("c", "3", 1));
  cr_assert(late.error().mKind == ErrorKind::Conflict);
  cr_assert(late.error().mExecution == Execution::NotRun);
}

// Guards against storing a change twice after a lost reply. A deletion leaves
// no object that holds the change id, so it is covered as well.
Test(config_log, a_lost_answer_stores_the_change_once)
{
  FaultyStore store;
  store.mNextFaults = { StoreFault::None,
                        StoreFault::None,
                        StoreFault::AnswerLost };
  cr_assert_eq(StoreWrite(store, MakeWrite("a", "1", 0))->mVersion, 1);
  ConfigWrite erase = MakeWrite("b", "", 1);
  erase.mDeleted = true;
  store.mNextFaults = { StoreFault::None,
                        StoreFault::None,
                        StoreFault::AnswerLost };
  cr_assert_eq(StoreWrite(store, erase)->mVersion, 2);
  cr_assert_eq(*RunCoroutine(ReadConfigVersion(store.AsCall())), 2);
}

// Guards against reporting a conflict for a change that was stored, when the
// call is repeated after the object has changed again.
Test(config_log, a_repeated_call_finds_its_replaced_change)
{
  FaultyStore store;
  store.mNextFaults = {
    StoreFault::None, StoreFault::None, StoreFault::AnswerLost, StoreFault::Down
  };
  const auto first = StoreWrite(store, MakeWrite("a", "1", 0));
  cr_assert(first.error().mKind == ErrorKind::OutcomeUnknown);
  cr_assert_eq(StoreWrite(store, MakeWrite("b", "2", 1))->mVersion, 2);
  const auto repeated = StoreWrite(store, MakeWrite("a", "1", 0));
  cr_assert(repeated.has_value());
  cr_assert_eq(repeated->mVersion, 1);
}

// Guards against storing a change of the host set before the previous one is
// accepted.
Test(config_log, an_expected_head_that_moved_is_a_conflict)
{
  FaultyStore store;
  cr_assert(StoreWrite(store, MakeWrite("a", "1", 0)).has_value());
  ConfigWrite host = MakeWrite("b", "2", kAnyVersion);
  host.mObject = "host/x";
  host.mExpectedConfigVersion = 0;
  cr_assert(StoreWrite(store, host).error().mKind == ErrorKind::Conflict);
  host.mExpectedConfigVersion = 1;
  cr_assert_eq(StoreWrite(store, host)->mVersion, 2);
}

// Guards against a state that mixes objects of two versions.
Test(config_log, a_state_read_during_a_change_is_of_one_version)
{
  FaultyStore store;
  cr_assert(StoreWrite(store, MakeWrite("a", "1", 0)).has_value());
  bool written = false;
  store.mBeforeCall = [&](const StoreRequest& aRequest) {
    const auto* range = std::get_if<RangeRequest>(&aRequest);
    if (!written && range != nullptr && !range->mRangeEnd.empty()) {
      written = true;
      cr_assert(StoreWrite(store, MakeWrite("b", "2", 1)).has_value());
    }
  };
  const auto state = RunCoroutine(ReadConfigState(store.AsCall()));
  cr_assert_eq(state->mVersion, 2);
  cr_assert_eq(state->mObjects.at("route/x").mValue, "2");
}

// Guards against a local copy that reverts or skips a change.
Test(config_log, a_copy_only_moves_forward_without_gaps)
{
  ConfigLog log;
  cr_assert(*log.Apply(Changes(1, 3)));
  cr_assert(!*log.Apply(Changes(1, 2)));
  cr_assert(log.Apply(Changes(5, 5)).error().mKind == ErrorKind::Conflict);
  ConfigState older;
  older.mVersion = 2;
  cr_assert(!log.Replace(older));
  cr_assert_eq(log.Version(), 3);
}

// Guards against sending a peer changes with a gap: after a whole state
// replaced the copy, the changes before it are not known.
Test(config_log, after_a_whole_state_earlier_changes_are_not_offered)
{
  ConfigLog log;
  cr_assert(*log.Apply(Changes(1, 3)));
  ConfigState newer;
  newer.mVersion = 10;
  cr_assert(log.Replace(newer));
  cr_assert(!log.ChangesAfter(2).has_value());
  cr_assert(*log.Apply(Changes(11, 12)));
  cr_assert(!log.ChangesAfter(9).has_value());
  cr_assert_eq(log.ChangesAfter(10)->size(), 2);
  cr_assert_eq(log.ChangesAfter(12)->size(), 0);
}
