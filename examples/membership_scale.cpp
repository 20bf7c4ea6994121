// Measures the membership protocol in one process: detection time of a killed
// member, false suspicions and deaths under datagram loss, and bytes sent and
// CPU time per member. Prints one JSON line for each group size and cross-zone
// probe ratio.
#include "agatetide/coordination/membership.hpp"

#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

constexpr Milliseconds kTickInterval{ 250 };
constexpr size_t kZones = 8;
/// Size of the UDP and IPv4 headers of a datagram.
constexpr size_t kUdpIpHeaderBytes = 28;
constexpr uint64_t kLossPercent = 5;

struct Packet
{
  size_t mTo = 0;
  Datagram mDatagram;
};

struct Group
{
  Group(size_t aSize, unsigned aCrossZoneProbePeriod)
  {
    MembershipOptions options;
    options.mCrossZoneProbePeriod = aCrossZoneProbePeriod;
    std::vector<MemberUpdate> seeds(aSize);
    for (size_t i = 0; i < aSize; ++i) {
      seeds[i].mAddress = "10.0." + std::to_string(i / 256) + "." +
                          std::to_string(i % 256) + ":7100";
      seeds[i].mCallerAddress = seeds[i].mAddress;
      seeds[i].mAvailabilityZone = "zone-" + std::to_string(i % kZones);
      seeds[i].mRegion = "region";
      seeds[i].mIncarnation = 1700000000000;
      mIndex[seeds[i].mAddress] = i;
    }
    for (size_t i = 0; i < aSize; ++i) {
      MembershipHooks hooks;
      hooks.mSend = [this](const std::string& aTo, const Datagram& aDatagram) {
        mBytes += EncodeMessage(aDatagram, "secret").size() + kUdpIpHeaderBytes;
        if (UniformBelow(mRandom, 100) >= mLossPercent) {
          mQueue.push_back({ mIndex.at(aTo), aDatagram });
        }
      };
      hooks.mOnChange = [this](const Member& aMember) {
        RecordChange(aMember);
      };
      hooks.mOnProbeAck = [](const ProbeResult&) {};
      hooks.mFillConfigFields = [](Datagram&) {};
      auto created = Membership::Create(seeds[i],
                                        options,
                                        std::move(hooks),
                                        mClock.AsClock(),
                                        SeededRandom(i + 1));
      mMembers.push_back(
        std::make_unique<Membership>(std::move(created.value())));
      mMembers.back()->SetSeeds(seeds);
    }
  }

  void RecordChange(const Member& aMember)
  {
    const bool killed =
      mMember0Killed && mIndex.at(aMember.mInfo.mAddress) == 0;
    if (killed && aMember.mInfo.mState == MemberState::Dead) {
      mDetectionTimes.push_back(mClock.Now());
    } else if (!killed && aMember.mInfo.mState == MemberState::Suspect) {
      ++mSuspicions;
    } else if (!killed && aMember.mInfo.mState == MemberState::Dead) {
      ++mFalseDeaths;
    }
  }

  void Step()
  {
    // The members' ticks are spread evenly over the interval.
    for (size_t i = 0; i < mMembers.size(); ++i) {
      mClock.Advance(Duration(kTickInterval) / mMembers.size());
      if (!mMember0Killed || i != 0) {
        mMembers[i]->Tick();
      }
      while (!mQueue.empty()) {
        const Packet packet = std::move(mQueue.front());
        mQueue.pop_front();
        if (!mMember0Killed || packet.mTo != 0) {
          mMembers[packet.mTo]->Receive(packet.mDatagram);
        }
      }
    }
  }

  void Run(std::chrono::seconds aDuration)
  {
    for (Milliseconds elapsed{ 0 }; elapsed < aDuration;
         elapsed += kTickInterval) {
      Step();
    }
  }

  ManualClock mClock;
  Random mRandom = SeededRandom(99);
  uint64_t mLossPercent = 0;
  bool mMember0Killed = false;
  uint64_t mBytes = 0;
  uint64_t mSuspicions = 0;
  uint64_t mFalseDeaths = 0;
  std::vector<TimePoint> mDetectionTimes;
  std::map<std::string, size_t> mIndex;
  std::deque<Packet> mQueue;
  std::vector<std::unique_ptr<Membership>> mMembers;
};

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void Measure(size_t aSize, unsigned aCrossZoneProbePeriod)
{
  Group group(aSize, aCrossZoneProbePeriod);
  group.Run(std::chrono::seconds(60));
  const auto costPerMember = [&](std::chrono::seconds aDuration) {
    group.mBytes = 0;
    const auto started = std::chrono::steady_clock::now();
    group.Run(aDuration);
    const double cpu = Seconds(std::chrono::steady_clock::now() - started);
    const double memberSeconds =
      static_cast<double>(aSize) * Seconds(aDuration);
    return std::pair(static_cast<double>(group.mBytes) / memberSeconds,
                     100 * cpu / memberSeconds);
  };
  group.mSuspicions = 0;
  group.mFalseDeaths = 0;
  const auto [bytesPerSecond, corePercent] =
    costPerMember(std::chrono::seconds(10));
  group.mLossPercent = kLossPercent;
  const double lossyBytesPerSecond =
    costPerMember(std::chrono::seconds(30)).first;
  const uint64_t suspicions = group.mSuspicions;
  const uint64_t falseDeaths = group.mFalseDeaths;
  group.mLossPercent = 0;
  group.Run(std::chrono::seconds(10));
  group.mMember0Killed = true;
  const TimePoint killedAt = group.mClock.Now();
  group.Run(std::chrono::seconds(20));
  const bool allDetected = group.mDetectionTimes.size() >= aSize - 1;
  std::printf(
    "{\"members\": %zu, \"other_zone_probe_share\": %u, \"bytes_per_s\": %.0f, "
    "\"core_percent\": %.3f, \"lossy_bytes_per_s\": %.0f, "
    "\"suspicion_reports_30s\": %llu, \"false_deaths_30s\": %llu, "
    "\"first_detection_s\": %.2f, \"all_detected_s\": %.2f}\n",
    aSize,
    aCrossZoneProbePeriod,
    bytesPerSecond,
    corePercent,
    lossyBytesPerSecond,
    static_cast<unsigned long long>(suspicions),
    static_cast<unsigned long long>(falseDeaths),
    group.mDetectionTimes.empty()
      ? -1
      : Seconds(group.mDetectionTimes.front() - killedAt),
    allDetected ? Seconds(group.mDetectionTimes[aSize - 2] - killedAt) : -1);
}

} // namespace

int main()
{
  for (const size_t size : { 9, 48, 330 }) {
    Measure(size, 0);
    Measure(size, 8);
  }
}
