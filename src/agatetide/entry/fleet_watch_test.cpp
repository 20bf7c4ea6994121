#include "agatetide/entry/fleet_watch.hpp"

#include "agatetide/base/encoding.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::entry;

namespace {

constexpr const char* kZone = "zone-a";
constexpr const char* kPrefix = "keys/";
constexpr std::chrono::milliseconds kWait{ 1000 };

StoreChange ChangeAt(int64_t aRevision)
{
  StoreChange change;
  change.mEntry.mKey = kPrefix + std::to_string(aRevision);
  change.mEntry.mModRevision = aRevision;
  return change;
}

/// Two daemons of one availability zone. The store and the peer calls return
/// what the test sets, without delay; only the test advances the clock.
struct Zone
{
  Zone()
  {
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (const char* name : { "one", "two" }) {
      fleet::EntryHost host;
      host.mName = name;
      host.mAvailabilityZone = kZone;
      host.mPeerAddress = "127.0.0.1:1";
      hosts[name] = host;
    }
    mView.SetHosts(std::move(hosts));
    const bool oneFirst = Hash64("one") < Hash64("two");
    mFirst.emplace(Make(oneFirst ? "one" : "two", mFirstStoreCalls));
    mSecond.emplace(Make(oneFirst ? "two" : "one", mSecondStoreCalls));
  }

  FleetWatch Make(const char* aName, int& aStoreCalls)
  {
    return FleetWatch(
      {},
      mContext.get_executor(),
      mClock.AsClock(),
      aName,
      mView,
      [this, &aStoreCalls](WatchRequest) -> Awaitable<Result<WatchReply>> {
        ++aStoreCalls;
        co_return mStoreReply;
      },
      [this](http::Endpoint,
             PeerWatchRequest aRequest,
             Milliseconds) -> Awaitable<Result<PeerWatchReply>> {
        ++mPeerCalls;
        if (mPeerDown) {
          co_return Error{ ErrorKind::Unavailable, "down", "wait" };
        }
        auto reply = co_await mFirst->ServePeer(std::move(aRequest));
        mClock.Advance(mReplyDelay);
        co_return reply;
      });
  }

  template<class Reply>
  Result<Reply> Run(Awaitable<Result<Reply>> aAwaitable)
  {
    std::optional<Result<Reply>> result;
    boost::asio::co_spawn(mContext,
                          std::move(aAwaitable),
                          [&](std::exception_ptr, Result<Reply> aResult) {
                            result.emplace(std::move(aResult));
                          });
    mContext.restart();
    while (!result && mContext.run_one() > 0) {
    }
    return std::move(*result);
  }

  Result<WatchReply> Watch(FleetWatch& aWatch, int64_t aAfter)
  {
    return Run(aWatch.Watch({ kPrefix, aAfter, kWait }));
  }

  boost::asio::io_context mContext;
  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), kZone, "region" };
  Result<WatchReply> mStoreReply = WatchReply{ { ChangeAt(7) }, 7 };
  Duration mReplyDelay{};
  bool mPeerDown = false;
  int mFirstStoreCalls = 0;
  int mSecondStoreCalls = 0;
  int mPeerCalls = 0;
  std::optional<FleetWatch> mFirst;
  std::optional<FleetWatch> mSecond;
};

} // namespace

// Guards against a store call by every daemon for each change.
Test(fleet_watch, the_second_daemon_of_a_zone_asks_the_first)
{
  Zone zone;
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value());
  cr_expect(reply->mChanges.size() == 1);
  cr_expect(reply->mRevision == 7);
  cr_expect(zone.mSecondStoreCalls == 0);
  cr_expect(!zone.mFirst->Peer());
}

// Guards against a withdrawn key that is accepted for too long because a
// delayed reply makes the data look fresher than it is.
Test(fleet_watch, a_proof_never_gets_younger_on_the_way)
{
  Zone zone;
  const TimePoint freshAsOf = zone.mClock.Now();
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  zone.mClock.Advance(std::chrono::milliseconds(300));
  zone.mReplyDelay = std::chrono::milliseconds(400);
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value() && reply->mFreshAsOf.has_value());
  cr_expect(*reply->mFreshAsOf <= freshAsOf);
  cr_expect(*reply->mFreshAsOf > freshAsOf - std::chrono::milliseconds(2));
}

// Guards against a zone that gets no changes because its lowest ranked daemon
// is dead or cut off from the store.
Test(fleet_watch, asks_the_store_when_the_first_daemon_cannot_tell)
{
  Zone zone;
  zone.mPeerDown = true;
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value());
  cr_expect(zone.mSecondStoreCalls == 1);
  cr_expect(zone.mPeerCalls == 1);
  cr_expect(!zone.mSecond->Peer(), "the peer is not asked again immediately");
  zone.mClock.Advance(FleetWatchOptions().mPeerBackoff);
  cr_expect(zone.mSecond->Peer().has_value());
}

// Guards against replies from a daemon whose own data is stale.
Test(fleet_watch, refuses_when_its_own_watch_has_failed_or_is_too_old)
{
  Zone zone;
  const PeerWatchRequest request{ kPrefix, 7, kWait.count() };
  cr_expect(zone.Run(zone.mFirst->ServePeer(request)).has_error());
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  zone.mClock.Advance(2 * kWait + std::chrono::milliseconds(300));
  cr_expect(zone.Run(zone.mFirst->ServePeer(request)).has_error(), "too stale");
  cr_assert(zone.Watch(*zone.mFirst, 7).has_value());
  zone.mStoreReply = Error{ ErrorKind::Unavailable, "store is down", "wait" };
  cr_assert(zone.Watch(*zone.mFirst, 7).has_error());
  cr_expect(zone.Run(zone.mFirst->ServePeer(request)).has_error(),
            "the last watch failed");
}

// Guards against daemons that watch each other in a cycle, or watch a host that
// is about to stop.
Test(fleet_watch, a_draining_host_is_not_asked)
{
  Zone zone;
  auto hosts = zone.mView.Hosts();
  for (auto& [name, host] : hosts) {
    host.mDraining = zone.mSecond->Peer() == name;
  }
  zone.mView.SetHosts(hosts);
  cr_expect(!zone.mFirst->Peer());
  cr_expect(!zone.mSecond->Peer());
}

// Guards against a store call by every zone for each change, and against
// watches by every daemon over the slow links between regions.
Test(fleet_watch, only_the_first_of_a_zone_asks_in_another_zone)
{
  Zone zone;
  auto hosts = zone.mView.Hosts();
  // The lowest ranked host of the fleet is in another zone.
  std::string other = "other";
  while (Hash64(other) > std::min(Hash64("one"), Hash64("two"))) {
    other += "x";
  }
  hosts[other].mName = other;
  hosts[other].mAvailabilityZone = "zone-b";
  hosts[other].mPeerAddress = "127.0.0.1:2";
  zone.mView.SetHosts(hosts);
  cr_expect(zone.mFirst->Peer() == other);
  cr_expect(zone.mSecond->Peer().has_value());
  cr_expect(zone.mSecond->Peer() != other);
}

// Guards against a gap in the watch every few seconds while two regions can't
// reach each other.
Test(fleet_watch, a_host_that_fails_again_is_avoided_for_longer)
{
  Zone zone;
  const FleetWatchOptions options;
  zone.mPeerDown = true;
  zone.Watch(*zone.mSecond, 5);
  zone.mClock.Advance(options.mPeerBackoff);
  zone.Watch(*zone.mSecond, 7);
  zone.mClock.Advance(options.mPeerBackoff);
  cr_expect(!zone.mSecond->Peer());
  zone.mClock.Advance(options.mPeerBackoff);
  cr_expect(zone.mSecond->Peer().has_value());
}

// Guards against every daemon calling the store several times a second during
// an outage, although retries by one daemon suffice.
Test(fleet_watch, an_outage_costs_few_calls_and_its_end_is_known_at_once)
{
  Zone zone;
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  zone.mStoreReply = Error{ ErrorKind::Unavailable, "store is down", "wait" };
  cr_assert(zone.Watch(*zone.mFirst, 7).has_error());
  for (int i = 0; i < 20; ++i) {
    cr_assert(zone.Watch(*zone.mSecond, 7).has_error());
    zone.mClock.Advance(std::chrono::milliseconds(200));
  }
  cr_expect(zone.mSecondStoreCalls <= 4);
  zone.mStoreReply = WatchReply{ { ChangeAt(8) }, 8 };
  cr_assert(zone.Watch(*zone.mFirst, 7).has_value());
  const auto reply = zone.Watch(*zone.mSecond, 7);
  cr_expect(reply.has_value() && reply->mRevision == 8);
  cr_expect(zone.mSecondStoreCalls <= 4);
}
