#include "agatetide/request/replica_pool.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace agatetide;
using namespace agatetide::request;

namespace {

constexpr const char* kService = "service";
constexpr const char* kReplica = "replica";
constexpr std::chrono::milliseconds kTick{ 50 };
/// The other hosts see a registration after one second.
constexpr size_t kViewDelayTicks = std::chrono::seconds(1) / kTick;
/// Time after which all hosts know of an announcement.
constexpr std::chrono::seconds kAnnouncementDelay{ 3 };

fleet::Replica MakeReplica(const char* aId)
{
  fleet::Replica replica;
  replica.mId = aId;
  replica.mService = kService;
  replica.mAddress = aId;
  return replica;
}

/// One host: its view of the fleet, and its requests.
struct Host
{
  Host(std::string aName, ManualClock& aClock)
    : mName(std::move(aName))
    , mView(aClock.AsClock(), "zone", "region")
    , mPool(mView, aClock.AsClock(), SeededRandom(1), mName)
  {
    mView.PutReplica(MakeReplica(kReplica));
  }

  std::string mName;
  fleet::FleetView mView;
  ReplicaPool mPool;
  std::map<std::string, TimePoint, std::less<>> mAnnouncedSince;
  /// Requests per second that the host's callers send.
  double mDemand = 0.0;
  double mWaiting = 0.0;
};

/// Hosts that all send requests to one limited replica, and know of each
/// other's announcements after a delay.
class Fleet
{
public:
  explicit Fleet(size_t aHostCount)
  {
    for (size_t i = 0; i < aHostCount; ++i) {
      mHosts.push_back(
        std::make_unique<Host>("host-" + std::to_string(i), mClock));
    }
  }

  Host& At(size_t aIndex) { return *mHosts[aIndex]; }

  void Run(Duration aTime)
  {
    for (const TimePoint end = mClock.Now() + aTime; mClock.Now() < end;) {
      mClock.Advance(kTick);
      ShareAnnouncements();
      for (const auto& host : mHosts) {
        SendRequests(*host);
      }
    }
  }

  /// The largest number of requests in 4 s, from aFrom on.
  size_t MaxRequestsInWindow(TimePoint aFrom) const
  {
    size_t most = 0;
    for (auto first = mArrivals.begin(); first != mArrivals.end(); ++first) {
      const auto end = std::upper_bound(
        first, mArrivals.end(), *first + std::chrono::seconds(4));
      if (*first >= aFrom) {
        most = std::max(most, static_cast<size_t>(end - first));
      }
    }
    return most;
  }

  size_t RequestCount(TimePoint aFrom) const
  {
    return static_cast<size_t>(
      mArrivals.end() -
      std::lower_bound(mArrivals.begin(), mArrivals.end(), aFrom));
  }

  ManualClock mClock;
  /// The limit that the replica names; std::nullopt if none.
  std::optional<double> mLimit;

private:
  void ShareAnnouncements()
  {
    std::map<std::string, fleet::EntryHost, std::less<>> registrations;
    for (const auto& host : mHosts) {
      fleet::EntryHost& registration = registrations[host->mName];
      registration.mName = host->mName;
      registration.mRequestLimits = host->mPool.Limits().Announcement();
      std::erase_if(host->mAnnouncedSince, [&](const auto& aItem) {
        return !registration.mRequestLimits.contains(aItem.first);
      });
      for (const auto& [replica, limit] : registration.mRequestLimits) {
        host->mAnnouncedSince.try_emplace(replica, mClock.Now());
      }
    }
    mHistory.push_back(std::move(registrations));
    if (mHistory.size() > kViewDelayTicks) {
      mHistory.pop_front();
    }
    for (const auto& host : mHosts) {
      std::set<std::string, std::less<>> announced;
      for (const auto& [replica, since] : host->mAnnouncedSince) {
        if (mClock.Now() - since >= kAnnouncementDelay) {
          announced.insert(replica);
        }
      }
      host->mView.SetHosts(mHistory.front());
      host->mPool.Limits().UpdateShares(std::move(announced));
    }
  }

  void SendRequests(Host& aHost)
  {
    aHost.mWaiting += aHost.mDemand * Seconds(kTick);
    while (aHost.mWaiting >= 1.0) {
      const TimePoint sentAt = mClock.Now();
      const auto reservation =
        aHost.mPool.ChooseAndReserve({ kService, {}, {} }, "id");
      if (!reservation) {
        aHost.mWaiting = std::min(aHost.mWaiting, 20.0);
        return;
      }
      aHost.mWaiting -= 1.0;
      mArrivals.push_back(sentAt);
      aHost.mPool.Limits().Record(kReplica, { mLimit, sentAt });
    }
  }

  std::vector<std::unique_ptr<Host>> mHosts;
  std::deque<std::map<std::string, fleet::EntryHost, std::less<>>> mHistory;
  std::vector<TimePoint> mArrivals;
};

/// The number of requests in 4 s above which a replica gets too many.
double MaxInWindow(double aLimit)
{
  return 1.5 * aLimit * 4.0 + 5.0;
}

} // namespace

// Guards against a replica in need that gets its whole limit from each host:
// all hosts press, then some of them come and go.
Test(request_limits, all_hosts_together_keep_the_limit_of_a_replica)
{
  for (const size_t hosts : { 1, 3, 9, 65 }) {
    for (const double limit : { 0.0, 0.6, 2.6, 12.0 }) {
      Fleet fleet(hosts);
      fleet.mLimit = limit;
      for (size_t i = 0; i < hosts; ++i) {
        fleet.At(i).mDemand = 6.0;
      }
      const TimePoint known = fleet.mClock.Now() + std::chrono::seconds(4);
      fleet.Run(std::chrono::seconds(20));
      for (size_t i = 1; i < hosts; i += 2) {
        fleet.At(i).mDemand = 0.0;
      }
      fleet.Run(std::chrono::seconds(20));
      for (size_t i = 1; i < hosts; i += 2) {
        fleet.At(i).mDemand = 40.0;
      }
      fleet.Run(std::chrono::seconds(20));
      const size_t most = fleet.MaxRequestsInWindow(known);
      cr_expect_leq(static_cast<double>(most),
                    MaxInWindow(limit),
                    "%zu hosts, limit %.1f: %zu requests in 4 s",
                    hosts,
                    limit,
                    most);
    }
  }
}

// Guards against wasting a limit while only few of many hosts have requests.
Test(request_limits, the_hosts_with_requests_use_the_limit)
{
  Fleet fleet(9);
  fleet.mLimit = 5.0;
  fleet.At(2).mDemand = 10.0;
  fleet.Run(std::chrono::seconds(10));
  const TimePoint from = fleet.mClock.Now();
  fleet.Run(std::chrono::seconds(20));
  cr_expect_geq(fleet.RequestCount(from), 85);
}

// Guards against a limit that outlasts the replica's need.
Test(request_limits, the_limit_ends_when_the_replica_names_none)
{
  Fleet fleet(9);
  fleet.mLimit = 2.0;
  for (size_t i = 0; i < 9; ++i) {
    fleet.At(i).mDemand = 5.0;
  }
  fleet.Run(std::chrono::seconds(15));
  fleet.mLimit.reset();
  fleet.Run(std::chrono::seconds(20));
  const TimePoint from = fleet.mClock.Now();
  fleet.Run(std::chrono::seconds(10));
  cr_expect_geq(fleet.RequestCount(from), 430);
}

// Guards against ending a limit because of a response that was overtaken.
Test(request_limits, an_overtaken_response_does_not_end_a_limit)
{
  ManualClock clock;
  Host host("host", clock);
  const TimePoint sentBefore = clock.Now();
  clock.Advance(std::chrono::milliseconds(50));
  host.mPool.Limits().Record(kReplica, { 2.0, sentBefore });
  clock.Advance(std::chrono::milliseconds(50));
  host.mPool.Limits().Record(kReplica, { std::nullopt, sentBefore });
  cr_expect_gt(host.mPool.Limits().Delay(kReplica), Duration::zero());
  host.mPool.Limits().Record(kReplica, { std::nullopt, clock.Now() });
  cr_expect_eq(host.mPool.Limits().Delay(kReplica), Duration::zero());
}

// Guards against a registration that is written again with each response.
Test(request_limits, a_small_change_of_a_limit_is_not_announced)
{
  ManualClock clock;
  Host host("host", clock);
  host.mPool.Limits().Record(kReplica, { 3.0, clock.Now() });
  host.mPool.Limits().RecordDemand(kReplica);
  const auto before = host.mPool.Limits().Announcement();
  host.mPool.Limits().Record(kReplica, { 3.1, clock.Now() });
  cr_expect(before == host.mPool.Limits().Announcement());
  host.mPool.Limits().Record(kReplica, { 1.5, clock.Now() });
  cr_expect(before != host.mPool.Limits().Announcement());
}

// Guards against holding a restarted replica to the limit of its predecessor.
Test(request_limits, a_restarted_replica_has_no_limit)
{
  ManualClock clock;
  Host host("host", clock);
  host.mPool.Limits().Record(kReplica, { 2.0, clock.Now() });
  host.mPool.Limits().Forget(kReplica);
  cr_expect_eq(host.mPool.Limits().Delay(kReplica), Duration::zero());
}
