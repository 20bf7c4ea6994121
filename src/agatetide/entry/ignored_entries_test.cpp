#include "agatetide/entry/ignored_entries.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;

namespace {

struct Fixture
{
  bool Log(const std::string& aKey, int64_t aRevision)
  {
    coordination::StoreEntry entry;
    entry.mKey = aKey;
    entry.mModRevision = aRevision;
    return mIgnored.Log(
      "entry_ignored", entry, { ErrorKind::InvalidArgument, "odd", "none" });
  }

  ManualClock mClock;
  IgnoredEntries mIgnored{ mClock.AsClock(), { 3, Milliseconds(1000) } };
};

} // namespace

// Guards against a line for each read of an entry, or for each time it is
// written.
Test(ignored_entries, a_key_is_logged_once_in_an_interval)
{
  Fixture fixture;
  cr_expect(fixture.Log("a", 1));
  cr_expect_not(fixture.Log("a", 1));
  cr_expect_not(fixture.Log("a", 2));
  fixture.mClock.Advance(Milliseconds(1000));
  cr_expect(fixture.Log("a", 3));
  cr_expect_not(fixture.Log("a", 3));
}

// Guards against a log that is filled by entries under ever new keys.
Test(ignored_entries, an_interval_has_a_bounded_number_of_lines)
{
  Fixture fixture;
  int logged = 0;
  for (int key = 0; key < 100; ++key) {
    logged += fixture.Log(std::to_string(key), 1) ? 1 : 0;
    logged += fixture.Log("0", key + 2) ? 1 : 0;
  }
  cr_expect_eq(logged, 3);
  fixture.mClock.Advance(Milliseconds(1000));
  cr_expect(fixture.Log("new", 1));
}
