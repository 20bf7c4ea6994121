#include "agatetide/entry/replica_relay.hpp"

#include "agatetide/entry/relay_messages.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;
namespace asio = boost::asio;

// Guards against attempts that reach an evacuated zone through a host that
// knows of the evacuation, while the one that asks does not. Another host would
// refuse it, too, so the answer is a result and the search ends.
Test(replica_relay, attempts_for_an_evacuated_zone_are_refused_as_not_run)
{
  asio::io_context context;
  const Clock clock = SteadyClock();
  fleet::FleetView view(clock, "zone", "region");
  fleet::Replica replica;
  replica.mId = "replica";
  replica.mAvailabilityZone = "zone-2";
  view.PutReplica(std::move(replica));
  view.SetEvacuated("zone-2", true);
  request::ReachabilityMonitor monitor(
    {}, context.get_executor(), view, {}, clock, SeededRandom(1));
  RelayServer server({}, context.get_executor(), view, monitor, {}, {});
  RelayRequest relay;
  relay.mRequest.mReplicaId = "replica";
  relay.mRemainingTime = Milliseconds(1000);
  for (const bool isStream : { false, true }) {
    relay.mIsStream = isStream;
    http::Request message;
    message.mBody = Encode(relay);
    const http::Response response = server.Handle(message);
    cr_assert_eq(response.mStatus, 200);
    cr_assert(!response.mStream);
    std::optional<Error> refusal;
    RelayFrameReader reader(1 << 20, std::make_shared<MemoryBudget>(1 << 20));
    cr_assert(reader.Feed(response.mBody, [&](RelayFrame aFrame) {
      cr_assert(aFrame.mResult && aFrame.mResult->has_error());
      refusal = aFrame.mResult->error();
      return true;
    }));
    cr_assert(refusal.has_value());
    cr_expect(refusal->mExecution == Execution::NotRun);
  }
  view.SetEvacuated("zone-2", false);
  http::Request message;
  message.mBody = Encode(relay);
  cr_expect(server.Handle(message).mStream != nullptr);
}
