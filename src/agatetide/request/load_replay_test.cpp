#include "agatetide/request/replica_pool.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace agatetide;
using namespace agatetide::request;

namespace {

constexpr std::chrono::milliseconds kTick{ 5 };
constexpr size_t kTicks = 8000;
constexpr size_t kReplicas = 40;
constexpr unsigned kSlots = 8;
constexpr size_t kMaxWaiting = 4;
constexpr double kWorkSeconds = 0.1;
constexpr double kUse = 0.8;
/// A phase of slowness: its length in ticks, its share and its pace.
constexpr size_t kPhase = 120;
constexpr double kSlowShare = 0.2;
constexpr double kSlowPace = 2.0;
/// Ticks between the reports that a replica makes; responses carry the last.
constexpr size_t kReportInterval = 20;
/// Ticks between the messages of a host to the first one of its zone, and of
/// that to the first one of all.
constexpr size_t kMessageInterval = 200;
constexpr size_t kZoneSize = 33;

struct Work
{
  double mLeftSeconds = 0.0;
  size_t mHost = 0;
  std::unique_ptr<ReplicaPool::Reservation> mReservation;
};

struct Server
{
  std::string mId;
  double mPace = 1.0;
  std::vector<Work> mWork;
  ReportedLoad mReport;
  double mLoadSum = 0.0;
};

struct Outcome
{
  double mBusiestOverMean = 0.0;
  size_t mArrivals = 0;
  size_t mWaits = 0;
  size_t mRejections = 0;
};

/// Hosts that send requests to shared replicas at 80% use.
class Replay
{
public:
  Replay(size_t aHosts, policy::ReplicaChoicePolicy aPolicy)
    : mView(mClock.AsClock(), "zone", "region")
  {
    mView.SetRegions({ { "zone", "region" } });
    for (size_t i = 0; i < kReplicas; ++i) {
      fleet::Replica replica;
      replica.mId = "r" + std::to_string(i);
      replica.mService = "plain";
      replica.mAvailabilityZone = "zone";
      replica.mSlots = kSlots;
      mView.PutReplica(replica);
      mServers.emplace_back().mId = replica.mId;
    }
    for (size_t i = 0; i < aHosts; ++i) {
      mHosts.push_back(std::make_unique<ReplicaPool>(
        mView, mClock.AsClock(), SeededRandom(i + 2)));
      mHosts.back()->SetChoicePolicy(aPolicy);
    }
  }

  ~Replay()
  {
    mServers.clear(); // Before the pools, which count the reservations.
  }

  Outcome Run()
  {
    for (size_t tick = 0; tick < kTicks; ++tick) {
      mClock.Advance(kTick);
      for (size_t i = 0; i < kReplicas; ++i) {
        Advance(mServers[i], tick + i);
      }
      SendArrivals();
      ExchangeMessages(tick);
    }
    std::vector<double> loads;
    for (const Server& server : mServers) {
      loads.push_back(server.mLoadSum);
    }
    mOutcome.mBusiestOverMean =
      *std::max_element(loads.begin(), loads.end()) * kReplicas /
      std::accumulate(loads.begin(), loads.end(), 0.0);
    return mOutcome;
  }

  size_t MostBytesPerSecond() const
  {
    uint64_t most = 0;
    for (const auto& host : mHosts) {
      most = std::max(most, host->LoadCounters().mSentBytes);
    }
    return most * 1000 / (kTicks * kTick.count());
  }

private:
  void Advance(Server& aServer, size_t aTick)
  {
    if (aTick % kPhase == 0) {
      aServer.mPace = UniformUnit(mPaceRandom) < kSlowShare ? kSlowPace : 1.0;
    }
    auto& work = aServer.mWork;
    const size_t running = std::min<size_t>(work.size(), kSlots);
    for (size_t i = running; i-- > 0;) {
      work[i].mLeftSeconds -= Seconds(kTick) / aServer.mPace;
      if (work[i].mLeftSeconds <= 0.0) {
        mHosts[work[i].mHost]->RecordLoad(aServer.mId, aServer.mReport);
        mHosts[work[i].mHost]->RecordHeaderLoad(aServer.mId, aServer.mReport);
        work.erase(work.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
    aServer.mLoadSum += static_cast<double>(work.size());
    if (aTick % kReportInterval == 0) {
      const auto now = static_cast<uint32_t>(std::min<size_t>(work.size(), 8));
      aServer.mReport = {
        now, static_cast<uint32_t>(work.size()) - now, kSlots, aServer.mPace
      };
    }
  }

  void SendArrivals()
  {
    const double meanPace = 1.0 + kSlowShare * (kSlowPace - 1.0);
    mDue +=
      Seconds(kTick) * kUse * kReplicas * kSlots / (kWorkSeconds * meanPace);
    // Exponential gaps between arrivals.
    while (mNext < mDue) {
      mNext -= std::log(1.0 - UniformUnit(mRandom));
      Send(UniformBelow(mRandom, mHosts.size()));
    }
  }

  void Send(size_t aHost)
  {
    ++mOutcome.mArrivals;
    const double seconds = -kWorkSeconds * std::log(1.0 - UniformUnit(mRandom));
    ReplicaFilter filter;
    filter.mService = "plain";
    auto reservation = mHosts[aHost]->ChooseAndReserve(filter, "id");
    Server& server =
      *std::find_if(mServers.begin(), mServers.end(), [&](const auto& aOther) {
        return aOther.mId == reservation->Replica().mId;
      });
    if (server.mWork.size() >= kSlots + kMaxWaiting) {
      ++mOutcome.mRejections;
      mHosts[aHost]->RecordLoad(server.mId, server.mReport);
      mHosts[aHost]->RecordHeaderLoad(server.mId, server.mReport);
      return;
    }
    mOutcome.mWaits += server.mWork.size() >= kSlots ? 1 : 0;
    server.mWork.push_back(
      { seconds,
        aHost,
        std::make_unique<ReplicaPool::Reservation>(std::move(*reservation)) });
  }

  /// A request of each host to the first one of its zone, or of all, and the
  /// reply, as for watches of the store.
  void ExchangeMessages(size_t aTick)
  {
    for (size_t i = 1; i < mHosts.size(); ++i) {
      if ((aTick + i) % kMessageInterval == 0) {
        ReplicaPool& first =
          *mHosts[i - (i % kZoneSize != 0 ? i % kZoneSize : i)];
        first.ImportLoads(mHosts[i]->ExportLoads(2048), "host");
        mHosts[i]->ImportLoads(first.ExportLoads(2048), "first");
      }
    }
  }

  ManualClock mClock;
  /// Separate, so that arrivals and paces do not depend on the choices.
  Random mRandom = SeededRandom(1);
  Random mPaceRandom = SeededRandom(100'000);
  fleet::FleetView mView;
  std::vector<std::unique_ptr<ReplicaPool>> mHosts;
  std::vector<Server> mServers;
  double mDue = 0.0;
  double mNext = 0.0;
  Outcome mOutcome;
};

void CheckEvenLoad(size_t aHosts)
{
  Replay baselineReplay(aHosts, policy::ReplicaChoicePolicy::LeastRequests);
  const Outcome baseline = baselineReplay.Run();
  Replay replay(aHosts, policy::ReplicaChoicePolicy::ExpectedTime);
  const Outcome outcome = replay.Run();
  cr_log_warn("%zu hosts: busiest/mean %.2f (baseline %.2f), waits %zu (%zu), "
              "rejections %zu (%zu) of %zu, %zu bytes/s",
              aHosts,
              outcome.mBusiestOverMean,
              baseline.mBusiestOverMean,
              outcome.mWaits,
              baseline.mWaits,
              outcome.mRejections,
              baseline.mRejections,
              outcome.mArrivals,
              replay.MostBytesPerSecond());
  cr_expect(outcome.mBusiestOverMean <= 1.3);
  cr_expect(outcome.mWaits < baseline.mWaits);
  cr_expect(outcome.mRejections < baseline.mRejections);
  cr_expect(replay.MostBytesPerSecond() < 5000);
}

} // namespace

// Each guards against replicas that are overloaded in turn, since many hosts
// choose by the same old reports.
Test(load_replay, load_is_even_with_9_hosts)
{
  CheckEvenLoad(9);
}

Test(load_replay, load_is_even_with_77_hosts)
{
  CheckEvenLoad(77);
}

Test(load_replay, load_is_even_with_300_hosts)
{
  CheckEvenLoad(300);
}
