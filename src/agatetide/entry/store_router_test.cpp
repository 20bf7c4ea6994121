#include "agatetide/entry/store_router.hpp"

#include "agatetide/coordination/store_messages.hpp"
#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <set>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::entry;

namespace {

Error Refused()
{
  return { ErrorKind::Unavailable, "the store refused", "wait" };
}

Awaitable<void> Sleep(Milliseconds aDuration)
{
  if (aDuration > Milliseconds(0)) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    aDuration);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

/// A daemon that the store may refuse, and one other daemon each in its own and
/// in another availability zone.
struct Fixture
{
  Fixture()
  {
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (const char* name : { "self", "near", "far" }) {
      fleet::EntryHost host;
      host.mName = name;
      host.mAvailabilityZone = name == std::string("far") ? "b" : "a";
      host.mPeerAddress =
        std::string("127.0.0.1:") + (name == std::string("far") ? "2" : "1");
      hosts[name] = host;
    }
    mView.SetHosts(std::move(hosts));
  }

  Result<StoreReply> Put()
  {
    TransactionRequest write;
    write.mPuts.push_back({ "key", "value" });
    return RunCoroutine(mRouter.Call(write));
  }

  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), "a", "region" };
  Result<StoreReply> mDirectReply = StoreReply{};
  Result<StoreReply> mPeerReply = StoreReply{};
  Milliseconds mDirectDelay{ 0 };
  Milliseconds mPeerDelay{ 0 };
  int mDirectCalls = 0;
  std::vector<uint16_t> mAskedPorts;
  StoreRouterOptions mOptions{ .mHedgeDelay = Milliseconds(40) };
  StoreRouter mRouter{ mOptions,
                       mClock.AsClock(),
                       "self",
                       mView,
                       [this](StoreRequest) -> Awaitable<Result<StoreReply>> {
                         ++mDirectCalls;
                         co_await Sleep(mDirectDelay);
                         co_return mDirectReply;
                       },
                       [this](http::Endpoint aPeer,
                              StoreRequest,
                              Milliseconds) -> Awaitable<Result<StoreReply>> {
                         mAskedPorts.push_back(aPeer.mPort);
                         co_await Sleep(mPeerDelay);
                         co_return mPeerReply;
                       } };
};

} // namespace

// Guards against results of a step that wait until the step is taken over
// because the store refuses its host while it serves others.
Test(store_path, a_refused_call_goes_through_another_daemon)
{
  Fixture fixture;
  fixture.mDirectReply = Refused();
  cr_expect(fixture.Put().has_value());
  cr_expect(fixture.Put().has_value());
  cr_expect(fixture.mDirectCalls == 1,
            "the second call does not try the store first");
  cr_expect(fixture.mAskedPorts == std::vector<uint16_t>({ 1, 1 }));
  fixture.mClock.Advance(StoreRouterOptions().mDirectBackoff);
  fixture.mDirectReply = StoreReply{};
  cr_expect(fixture.Put().has_value());
  cr_expect(fixture.mAskedPorts.size() == 2, "calls are direct again");
}

// Guards against a write that is executed twice.
Test(store_path, a_call_that_may_have_been_done_is_not_repeated)
{
  Fixture fixture;
  fixture.mDirectReply = FaultyStore::OutcomeUnknownError();
  cr_expect(fixture.Put().has_error());
  cr_expect(fixture.mAskedPorts.empty());
  cr_expect(fixture.Put().has_value(), "the next call takes another route");
  fixture.mPeerReply = FaultyStore::OutcomeUnknownError();
  const int direct = fixture.mDirectCalls;
  cr_expect(fixture.Put().has_error());
  cr_expect(fixture.mDirectCalls == direct);
}

// Guards against three calls instead of one during an outage of the store for
// all daemons.
Test(store_path, an_outage_for_all_is_not_asked_about_again_and_again)
{
  Fixture fixture;
  fixture.mDirectReply = Refused();
  fixture.mPeerReply = Refused();
  for (int i = 0; i < 10; ++i) {
    cr_expect(fixture.Put().has_error());
  }
  cr_expect(fixture.mAskedPorts.size() == 2,
            "both other daemons were asked once");
}

// Guards against a host whose calls keep failing because the daemons it asks
// are refused, too: the next call asks others.
Test(store_path, a_daemon_that_was_refused_itself_is_not_asked_again_at_once)
{
  Fixture fixture;
  auto hosts = fixture.mView.Hosts();
  for (int i = 0; i < 8; ++i) {
    fleet::EntryHost host;
    host.mName = "more" + std::to_string(i);
    host.mAvailabilityZone = "c";
    host.mPeerAddress = "127.0.0.1:" + std::to_string(10 + i);
    hosts[host.mName] = host;
  }
  fixture.mView.SetHosts(hosts);
  fixture.mDirectReply = Refused();
  fixture.mPeerReply = Refused();
  cr_expect(fixture.Put().has_error());
  cr_expect(fixture.mAskedPorts.size() == StoreRouterOptions().mMaxPeers);
  cr_expect(fixture.mAskedPorts.front() == 1,
            "the daemon of the own zone first");
  fixture.mClock.Advance(StoreRouterOptions().mAllPeersBackoff);
  cr_expect(fixture.Put().has_error());
  const std::set<uint16_t> asked(fixture.mAskedPorts.begin(),
                                 fixture.mAskedPorts.end());
  cr_expect(asked.size() == fixture.mAskedPorts.size());
}

// Guards against a host that asks the same refused daemon of its zone again and
// again, and never the one that the store serves.
Test(store_path, refused_daemons_of_a_zone_are_asked_by_turns)
{
  Fixture fixture;
  auto hosts = fixture.mView.Hosts();
  hosts.erase("far");
  hosts["next"] = hosts.at("near");
  hosts["next"].mName = "next";
  hosts["next"].mPeerAddress = "127.0.0.1:3";
  fixture.mView.SetHosts(hosts);
  fixture.mDirectReply = Refused();
  fixture.mPeerReply = Refused();
  constexpr size_t kCalls = 8;
  for (size_t i = 0; i < kCalls; ++i) {
    cr_expect(fixture.Put().has_error());
    fixture.mClock.Advance(StoreRouterOptions().mMaxAllPeersBackoff);
  }
  cr_assert_eq(fixture.mAskedPorts.size(), kCalls);
  for (size_t i = 1; i < kCalls; ++i) {
    cr_expect_neq(fixture.mAskedPorts[i], fixture.mAskedPorts[i - 1]);
  }
}

// Guards against calls that change when they are encoded and decoded, and
// against a crash on malformed ones.
Test(store_path, calls_are_read_back_and_malformed_ones_refused)
{
  TransactionRequest write;
  write.mCompares.push_back({ "a", 3 });
  write.mPuts.push_back({ "b", std::string("\0x", 2), 9 });
  write.mDeletes.push_back({ "c" });
  write.mReadOnFailure.emplace_back("a");
  const std::string bytes = Encode(StoreRequest(write));
  const auto request = DecodeStoreRequest(bytes);
  cr_assert(request.has_value());
  const auto& decoded = std::get<TransactionRequest>(*request);
  cr_expect(decoded.mCompares.front().mModRevision == 3);
  cr_expect(decoded.mPuts.front().mValue == write.mPuts.front().mValue);
  cr_expect(decoded.mPuts.front().mLeaseId == 9);
  cr_expect(decoded.mDeletes.front().mKey == "c");
  const auto keep =
    DecodeStoreRequest(Encode(StoreRequest(LeaseKeepAliveRequest{ 17 })));
  cr_expect(std::get<LeaseKeepAliveRequest>(keep.value()).mLeaseId == 17);
  for (size_t length = 0; length < bytes.size(); ++length) {
    cr_assert(DecodeStoreRequest(bytes.substr(0, length)).has_error());
  }
  cr_expect(DecodeStoreRequest("\x09").has_error());
}

// Guards against a registration that expires, and a step that is taken over,
// since the renewal of the lease waited for an answer and then for the next
// attempt.
Test(store_path, a_renewal_without_an_answer_is_repeated_at_once)
{
  Fixture fixture;
  fixture.mDirectReply = FaultyStore::OutcomeUnknownError();
  cr_expect(fixture.Put().has_error());
  cr_expect(fixture.mAskedPorts.empty(), "a write is not repeated");
  Fixture renewing;
  renewing.mDirectReply = FaultyStore::OutcomeUnknownError();
  StoreRequest renewal = LeaseKeepAliveRequest{ 7 };
  const auto renewed = RunCoroutine(renewing.mRouter.Call(renewal));
  cr_expect(renewed.has_value());
  cr_expect_eq(renewing.mDirectCalls, 1);
  cr_expect(renewing.mAskedPorts == std::vector<uint16_t>({ 1 }));
}

// Guards against a registration that expires because its renewal waits for a
// silent store until the timeout, and against a late reply that is taken for
// that of another call.
Test(store_path, a_renewal_takes_two_routes_while_the_store_is_silent)
{
  Fixture fixture;
  fixture.mDirectDelay = 4 * fixture.mOptions.mHedgeDelay;
  fixture.mPeerReply = StoreReply{ .mTtlSeconds = 3 };
  StoreRequest renewal = LeaseKeepAliveRequest{ 7 };
  const auto renewed = RunCoroutine(fixture.mRouter.Call(renewal));
  cr_assert(renewed.has_value());
  cr_expect_eq(renewed->mTtlSeconds, 3);
  cr_expect_eq(fixture.mDirectCalls, 1);
  cr_expect(fixture.mAskedPorts == std::vector<uint16_t>({ 1 }));
}

// Guards against two calls for each renewal where the store replies in time,
// and for each write where it does not.
Test(store_path, only_a_renewal_without_a_reply_takes_two_routes)
{
  Fixture fixture;
  fixture.mDirectDelay = fixture.mOptions.mHedgeDelay / 4;
  StoreRequest renewal = LeaseKeepAliveRequest{ 7 };
  cr_expect(RunCoroutine(fixture.mRouter.Call(renewal)).has_value());
  cr_expect(fixture.mAskedPorts.empty());
  fixture.mDirectDelay = 4 * fixture.mOptions.mHedgeDelay;
  cr_expect(fixture.Put().has_value());
  cr_expect(fixture.mAskedPorts.empty());
}

// Guards against a slow store that makes each host call it through others.
Test(store_path, a_late_direct_reply_counts_if_it_is_the_first)
{
  Fixture fixture;
  fixture.mDirectDelay = 2 * fixture.mOptions.mHedgeDelay;
  fixture.mPeerDelay = 4 * fixture.mOptions.mHedgeDelay;
  StoreRequest renewal = LeaseKeepAliveRequest{ 7 };
  cr_expect(RunCoroutine(fixture.mRouter.Call(renewal)).has_value());
  cr_expect_eq(fixture.mAskedPorts.size(), 1);
  cr_expect(fixture.Put().has_value());
  cr_expect_eq(fixture.mAskedPorts.size(), 1, "the next call is direct");
}

// Guards against items of a step that leave their region because the store
// refuses their host.
Test(store_path, calls_of_steps_stay_in_the_region_where_regions_are_restricted)
{
  Fixture fixture;
  fixture.mDirectReply = Refused();
  auto hosts = fixture.mView.Hosts();
  hosts.at("near").mRegion = "other";
  hosts.at("far").mRegion = "region";
  fixture.mView.SetHosts(hosts);
  auto config = std::make_shared<fleet::ServiceConfig>();
  config->mVersion = 1;
  config->mRoutes.emplace_back();
  config->mRoutes[0].mAllowedRegions = fleet::RegionSet{ "region" };
  fixture.mView.UpdateConfig(std::move(config));
  TransactionRequest write;
  write.mPuts.push_back({ "agatetide/step-items/s/0", "value" });
  cr_expect(RunCoroutine(fixture.mRouter.Call(write)).has_value());
  cr_expect(fixture.mAskedPorts == std::vector<uint16_t>({ 2 }));
  cr_expect(fixture.Put().has_value());
  cr_expect(fixture.mAskedPorts == std::vector<uint16_t>({ 2, 1 }));
}
