#include "agatetide/entry/step_offers.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;

namespace {

struct Fixture
{
  Fixture()
  {
    for (const char* name : { "near-1", "near-2", "far-1", "far-2", "self" }) {
      fleet::EntryHost host;
      host.mName = name;
      host.mPeerAddress = "127.0.0.1:1";
      host.mRegion = host.mName.starts_with("far") ? "far" : "near";
      mHosts[host.mName] = host;
    }
    mRecord.mId = "step";
    mRecord.mRegion = "near";
  }

  std::vector<std::string> Hosts(
    const std::optional<fleet::RegionSet>& aRegions = {})
  {
    return mOffers.HostsFor(mRecord, aRegions, mHosts);
  }

  ManualClock mClock;
  std::map<std::string, fleet::EntryHost, std::less<>> mHosts;
  steps::StepRecord mRecord;
  StepOffers mOffers{ {}, mClock.AsClock(), "self" };
};

} // namespace

// Guards against a step that only hosts of its region may take over, although
// all of them are full.
Test(step_offers, hosts_of_the_region_are_asked_before_the_others)
{
  Fixture fixture;
  const auto hosts = fixture.Hosts();
  cr_assert_eq(hosts.size(), 4);
  cr_expect(hosts[0].starts_with("near") && hosts[1].starts_with("near"));
  cr_expect(hosts[2].starts_with("far") && hosts[3].starts_with("far"));
  fixture.mHosts["near-1"].mDraining = true;
  cr_expect_eq(fixture.Hosts().size(), 3);
  cr_expect_eq(fixture.Hosts(fleet::RegionSet{ "far" }).size(), 2);
}

// Guards against a full host that is asked again and again, and against one
// that is never asked again.
Test(step_offers, a_host_that_refused_is_asked_later)
{
  Fixture fixture;
  fixture.mOffers.RecordAnswer("step", "near-1", false);
  const auto hosts = fixture.Hosts();
  cr_expect_eq(hosts.size(), 3);
  cr_expect_eq(std::count(hosts.begin(), hosts.end(), "near-1"), 0);
  fixture.mClock.Advance(StepOfferOptions().mRefusalBackoff);
  cr_expect_eq(fixture.Hosts().size(), 4);
}

// Guards against several hosts that make room for the same step, and against a
// step that waits forever for a host that accepted it and has ended.
Test(step_offers, a_step_that_was_accepted_is_offered_again_later)
{
  Fixture fixture;
  fixture.mOffers.RecordAnswer("step", "far-1", true);
  cr_expect(fixture.Hosts().empty());
  fixture.mClock.Advance(StepOfferOptions().mAcceptedTime);
  cr_expect_eq(fixture.Hosts().size(), 4);
}

// Guards against hosts of two builds that cannot offer each other steps.
Test(step_offers, an_offer_is_read_as_it_was_written)
{
  const auto offer = DecodeStepOffer(Encode({ "step-1", 17 }));
  cr_assert(offer.has_value());
  cr_expect_str_eq(offer->mStep.c_str(), "step-1");
  cr_expect_eq(offer->mBytes, 17);
  cr_expect(DecodeStepOffer("").has_error());
}
