#include "agatetide/request/replica_pool.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace agatetide;
using namespace agatetide::request;

namespace {

constexpr const char* kService = "engine";
constexpr double kColdRate = 8.7;
/// What the replica can take in any second: 1.5 times its rate and 5 more.
constexpr size_t kMaxPerSecond = 18;
constexpr std::chrono::milliseconds kTick{ 10 };
constexpr size_t kTicksPerSecond = std::chrono::seconds(1) / kTick;

std::shared_ptr<fleet::ServiceConfig> MakeConfig()
{
  auto config = std::make_shared<fleet::ServiceConfig>();
  config->mVersion = 1;
  fleet::Service service;
  service.mName = kService;
  service.mColdStart = { Milliseconds(3000), kColdRate };
  config->mServices[kService] = service;
  return config;
}

fleet::Replica MakeReplica(int64_t aStartTimeMs, Milliseconds aColdTimeLeft)
{
  fleet::Replica replica;
  replica.mId = "replica";
  replica.mService = kService;
  replica.mAvailabilityZone = "zone-0";
  replica.mStartTimeMs = aStartTimeMs;
  replica.mColdTimeLeft = aColdTimeLeft;
  return replica;
}

std::string HostName(size_t aIndex)
{
  return "host-" + std::to_string(aIndex);
}

std::string RegionName(size_t aIndex)
{
  return "region-" + std::to_string(aIndex % 3);
}

/// A host with as many requests as the replica could be sent.
struct Host
{
  Host(size_t aIndex, size_t aHostCount, ManualClock& aClock)
    : mView(aClock.AsClock(), "zone", RegionName(aIndex))
    , mPool(mView, aClock.AsClock(), SeededRandom(1), HostName(aIndex))
  {
    mView.SetRegions({ { "zone-0", RegionName(0) } });
    mView.UpdateConfig(MakeConfig());
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (size_t i = 0; i < aHostCount; ++i) {
      hosts[HostName(i)].mRegion = RegionName(i);
    }
    mView.SetHosts(std::move(hosts));
  }

  bool TrySend() { return mPool.TryReserve("replica").has_value(); }

  fleet::FleetView mView;
  ReplicaPool mPool;
};

class Fleet
{
public:
  explicit Fleet(size_t aHostCount)
  {
    for (size_t i = 0; i < aHostCount; ++i) {
      mHosts.push_back(std::make_unique<Host>(i, aHostCount, mClock));
    }
  }

  void Register(const fleet::Replica& aReplica)
  {
    for (const auto& host : mHosts) {
      host->mView.PutReplica(aReplica);
    }
  }

  /// Lets all hosts send what they may. Returns the most requests in any
  /// second.
  size_t Run(Milliseconds aTime)
  {
    size_t most = 0;
    for (Milliseconds time{ 0 }; time < aTime; time += kTick) {
      mClock.Advance(kTick);
      size_t sent = 0;
      for (const auto& host : mHosts) {
        while (host->TrySend() && sent < 1000) {
          ++sent;
        }
      }
      mTotal += sent;
      mSent.push_back(sent);
      size_t inSecond = 0;
      const size_t first =
        mSent.size() < kTicksPerSecond ? 0 : mSent.size() - kTicksPerSecond;
      for (size_t i = first; i < mSent.size(); ++i) {
        inSecond += mSent[i];
      }
      most = std::max(most, inSecond);
    }
    return most;
  }

  ManualClock mClock;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::deque<size_t> mSent;
  size_t mTotal = 0;
};

} // namespace

// Guards against hosts that all choose a new replica, since it looks idle.
Test(cold_replicas, all_hosts_together_keep_to_the_rate_of_a_new_replica)
{
  for (const size_t hosts : { 1, 9, 56, 300 }) {
    Fleet fleet(hosts);
    fleet.Register(MakeReplica(1, Milliseconds(3000)));
    const size_t most = fleet.Run(Milliseconds(2900));
    cr_expect_leq(most, kMaxPerSecond, "%zu hosts: %zu", hosts, most);
    cr_expect_geq(fleet.mTotal, 16U, "%zu hosts: %zu", hosts, fleet.mTotal);
  }
}

// Guards against a restart under the same id that is taken for the old start.
Test(cold_replicas, a_restart_and_a_later_cold_time_count)
{
  Fleet fleet(56);
  fleet.Register(MakeReplica(1, Milliseconds(0)));
  cr_expect(fleet.mHosts[1]->TrySend());
  fleet.Register(MakeReplica(2, Milliseconds(3000)));
  cr_expect_leq(fleet.Run(Milliseconds(2900)), kMaxPerSecond);
  fleet.Run(Milliseconds(200));
  cr_expect(fleet.mHosts[1]->TrySend());
  fleet.mSent.clear();
  fleet.Register(MakeReplica(2, Milliseconds(3000)));
  cr_expect_leq(fleet.Run(Milliseconds(2900)), kMaxPerSecond);
}

// Guards against a burst to a replica that came back before its registration.
Test(cold_replicas, an_unreachable_replica_is_taken_for_cold)
{
  Fleet fleet(56);
  const fleet::Replica replica = MakeReplica(1, Milliseconds(0));
  fleet.Register(replica);
  for (const auto& host : fleet.mHosts) {
    host->mPool.RecordUnreachable(replica);
  }
  cr_expect_leq(fleet.Run(Milliseconds(3400)), kMaxPerSecond);
  fleet.Run(Milliseconds(200));
  cr_expect(fleet.mHosts[1]->TrySend());
}

// Guards against hosts with an old list of hosts that all take a share: one
// that has just started is not in its own list yet, another one still sees a
// host that is gone.
Test(cold_replicas, hosts_with_old_lists_stay_within_the_slack)
{
  Fleet fleet(56);
  fleet.Register(MakeReplica(1, Milliseconds(3000)));
  fleet.mHosts[0]->mView.SetHosts({});
  std::map<std::string, fleet::EntryHost, std::less<>> old;
  for (size_t i = 0; i < 28; ++i) {
    old[HostName(i)].mRegion = RegionName(i);
  }
  fleet.mHosts[1]->mView.SetHosts(old);
  fleet.mHosts[3]->mView.SetHosts(old);
  cr_expect_leq(fleet.Run(Milliseconds(2900)), kMaxPerSecond);
  cr_expect_not(fleet.mHosts[0]->TrySend());
}

// Guards against pacing where the operator states no cold start.
Test(cold_replicas, a_service_without_a_cold_start_is_not_paced)
{
  ManualClock clock;
  Host host(0, 9, clock);
  auto config = MakeConfig();
  config->mVersion = 2;
  config->mServices[kService].mColdStart.reset();
  host.mView.UpdateConfig(config);
  host.mView.PutReplica(MakeReplica(1, Milliseconds(3000)));
  for (int i = 0; i < 50; ++i) {
    cr_expect(host.TrySend());
  }
}
