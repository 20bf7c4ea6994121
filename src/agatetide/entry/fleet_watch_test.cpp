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

/// Two daemons of one availability zone. The store and the way between them
/// answer at once, as the test says; time stands still.
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
    mFirst.emplace(Make(oneFirst ? "one" : "two", mFirstCalls));
    mSecond.emplace(Make(oneFirst ? "two" : "one", mSecondCalls));
  }

  FleetWatch Make(const char* aName, int& aCalls)
  {
    return FleetWatch(
      {},
      mContext.get_executor(),
      mClock.AsClock(),
      aName,
      mView,
      [this, &aCalls](WatchRequest) -> Awaitable<Result<WatchReply>> {
        ++aCalls;
        co_return mStoreReply;
      },
      [this](http::Endpoint,
             PeerWatchRequest aRequest,
             Milliseconds) -> Awaitable<Result<PeerWatchReply>> {
        ++mQuestions;
        if (mPeerDown) {
          co_return Error{ ErrorKind::Unavailable, "down", "wait" };
        }
        auto reply = co_await mFirst->Serve(std::move(aRequest));
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
  int mFirstCalls = 0;
  int mSecondCalls = 0;
  int mQuestions = 0;
  std::optional<FleetWatch> mFirst;
  std::optional<FleetWatch> mSecond;
};

} // namespace

// Guards against one store call of every daemon for each change.
Test(fleet_watch, the_second_daemon_of_a_zone_asks_the_first)
{
  Zone zone;
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value());
  cr_expect(reply->mChanges.size() == 1);
  cr_expect(reply->mRevision == 7);
  cr_expect(zone.mSecondCalls == 0);
  cr_expect(!zone.mFirst->Peer());
}

// Guards against a withdrawn key that is trusted longer because its proof
// looks younger after a delay on the way.
Test(fleet_watch, a_proof_never_gets_younger_on_the_way)
{
  Zone zone;
  const TimePoint proof = zone.mClock.Now();
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  zone.mClock.Advance(std::chrono::milliseconds(300));
  zone.mReplyDelay = std::chrono::milliseconds(400);
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value() && reply->mFreshAsOf.has_value());
  cr_expect(*reply->mFreshAsOf <= proof);
  cr_expect(*reply->mFreshAsOf > proof - std::chrono::milliseconds(2));
}

// Guards against a zone that learns nothing because its first daemon is dead
// or cut off from the store.
Test(fleet_watch, asks_the_store_when_the_first_daemon_cannot_tell)
{
  Zone zone;
  zone.mPeerDown = true;
  const auto reply = zone.Watch(*zone.mSecond, 5);
  cr_assert(reply.has_value());
  cr_expect(zone.mSecondCalls == 1);
  cr_expect(zone.mQuestions == 1);
  cr_expect(!zone.mSecond->Peer(), "it is not asked again at once");
  zone.mClock.Advance(FleetWatchOptions().mPeerBackoff);
  cr_expect(zone.mSecond->Peer().has_value());
}

// Guards against answers from a daemon whose own view is out of date.
Test(fleet_watch, refuses_when_its_own_watch_has_failed_or_is_too_old)
{
  Zone zone;
  const PeerWatchRequest request{ kPrefix, 7, kWait.count() };
  cr_expect(zone.Run(zone.mFirst->Serve(request)).has_error());
  cr_assert(zone.Watch(*zone.mFirst, 5).has_value());
  zone.mClock.Advance(2 * kWait + std::chrono::milliseconds(300));
  cr_expect(zone.Run(zone.mFirst->Serve(request)).has_error(), "too old");
  cr_assert(zone.Watch(*zone.mFirst, 7).has_value());
  zone.mStoreReply = Error{ ErrorKind::Unavailable, "store is down", "wait" };
  cr_assert(zone.Watch(*zone.mFirst, 7).has_error());
  cr_expect(zone.Run(zone.mFirst->Serve(request)).has_error(), "store lost");
}

// Guards against daemons that ask one another in a circle, or a host that is
// about to stop.
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

// Guards against one store call of every zone for each change, and against
// daemons that all ask over the slow links between regions.
Test(fleet_watch, only_the_first_of_a_zone_asks_in_another_zone)
{
  Zone zone;
  auto hosts = zone.mView.Hosts();
  // The first host of the fleet is in another zone.
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

// Guards against a blind moment every few seconds while two regions have lost
// each other.
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

// Replays an outage of the store: every daemon would call it several times a
// second, though one that tries is enough.
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
  cr_expect(zone.mSecondCalls <= 4);
  zone.mStoreReply = WatchReply{ { ChangeAt(8) }, 8 };
  cr_assert(zone.Watch(*zone.mFirst, 7).has_value());
  const auto reply = zone.Watch(*zone.mSecond, 7);
  cr_expect(reply.has_value() && reply->mRevision == 8);
  cr_expect(zone.mSecondCalls <= 4);
}
