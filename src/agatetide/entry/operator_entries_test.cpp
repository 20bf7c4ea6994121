#include "agatetide/entry/operator_entries.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;
using coordination::StoreEntry;

namespace {

StoreEntry Entry(const char* aKey)
{
  StoreEntry entry;
  entry.mKey = aKey;
  entry.mModRevision = 7;
  return entry;
}

/// Entries whose keys are "config VERSION" or "evacuate ZONE".
struct Fixture
{
  static Result<OperatorEntry> Decode(const StoreEntry& aEntry)
  {
    const size_t blank = aEntry.mKey.find(' ');
    const std::string argument = aEntry.mKey.substr(blank + 1);
    OperatorEntry decoded;
    if (aEntry.mKey.starts_with("config")) {
      auto config = std::make_shared<fleet::ServiceConfig>();
      config->mVersion = std::stoll(argument);
      decoded.mConfig = std::move(config);
    } else {
      decoded.mEvacuatedZone = argument;
    }
    return decoded;
  }

  void Put(const char* aKey)
  {
    const StoreEntry entry = Entry(aKey);
    mEntries.PutPage(std::span(&entry, 1));
  }

  int64_t Version() const
  {
    return mView.Config() ? mView.Config()->mVersion : 0;
  }

  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), "zone", "region" };
  OperatorEntries mEntries{ Decode, mView, mClock.AsClock() };
};

} // namespace

// Guards against requests that are served by a configuration alone, before the
// evacuations on later pages are known.
Test(operator_entries, first_configuration_waits_for_the_whole_list)
{
  Fixture fixture;
  fixture.mEntries.BeginList();
  fixture.Put("config 3");
  cr_expect_eq(fixture.Version(), 0);
  cr_expect_not(fixture.mEntries.AreKnown());
  fixture.Put("evacuate z1");
  fixture.mEntries.EndList();
  cr_expect_eq(fixture.Version(), 3);
  cr_expect(fixture.mEntries.AreKnown());
  cr_expect(fixture.mView.EvacuatedZones().contains("z1"));
}

Test(operator_entries, later_configurations_do_not_wait)
{
  Fixture fixture;
  fixture.mEntries.EndList();
  fixture.mEntries.Apply({ Entry("config 3"), false });
  cr_expect_eq(fixture.Version(), 3);
  fixture.mEntries.BeginList();
  fixture.Put("config 4");
  cr_expect_eq(fixture.Version(), 4);
}

// Guards against evacuations that end because a list could only be read in
// part, or that do not end though a whole list lacks them.
Test(operator_entries, only_a_whole_list_ends_evacuations)
{
  Fixture fixture;
  fixture.mEntries.Apply({ Entry("evacuate z1"), false });
  fixture.mEntries.BeginList();
  fixture.Put("config 3");
  fixture.mEntries.EndPartialList();
  cr_expect_eq(fixture.Version(), 3);
  cr_expect(fixture.mView.EvacuatedZones().contains("z1"));
  fixture.mEntries.BeginList();
  fixture.mEntries.EndList();
  cr_expect(fixture.mView.EvacuatedZones().empty());
}
