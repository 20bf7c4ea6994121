#include "agatetide/coordination/membership.hpp"

#include <criterion/criterion.h>

#include <memory>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

constexpr Milliseconds kTick{ 250 };

MemberUpdate Identity(const std::string& aAddress, uint64_t aIncarnation)
{
  MemberUpdate self;
  self.mAddress = aAddress;
  self.mAvailabilityZone = "zone";
  self.mIncarnation = aIncarnation;
  return self;
}

/// Members that exchange datagrams in memory. One member can be cut off.
struct Network
{
  void Add(const std::string& aAddress, uint64_t aIncarnation = 1)
  {
    MembershipHooks hooks;
    hooks.mSend = [this, aAddress](const std::string& aTo,
                                   const Datagram& aDatagram) {
      ++mSentCount;
      mQueue.push_back({ aAddress, aTo, aDatagram });
    };
    hooks.mOnChange = [](const Member&) {};
    hooks.mOnProbeAck = [](const ProbeResult&) {};
    hooks.mFillConfigFields = [this, aAddress](Datagram& aDatagram) {
      aDatagram.mConfigVersion = mVersions[aAddress];
    };
    auto created = Membership::Create(Identity(aAddress, aIncarnation),
                                      mOptions,
                                      std::move(hooks),
                                      mClock.AsClock(),
                                      SeededRandom(++mSeed));
    mMembers[aAddress] =
      std::make_unique<Membership>(std::move(created.value()));
  }

  Membership& At(const std::string& aAddress) { return *mMembers[aAddress]; }

  void Connect(const std::vector<std::string>& aAddresses)
  {
    std::vector<MemberUpdate> seeds;
    for (const std::string& address : aAddresses) {
      Add(address);
      seeds.push_back(Identity(address, 0));
    }
    for (const std::string& address : aAddresses) {
      At(address).SetSeeds(seeds);
    }
  }

  void Run(Milliseconds aTime)
  {
    for (Milliseconds passed{ 0 }; passed < aTime; passed += kTick) {
      mClock.Advance(kTick);
      for (auto& [address, member] : mMembers) {
        if (mCutOff != address) {
          member->Tick();
        }
      }
      while (!mQueue.empty()) {
        const auto [from, to, datagram] = mQueue.front();
        mQueue.pop_front();
        if (mMembers.contains(to) && from != mCutOff && to != mCutOff) {
          mMembers[to]->Receive(datagram);
        }
      }
    }
  }

  MemberState StateOf(const std::string& aWho, const std::string& aOf)
  {
    return At(aWho).Members().at(aOf).mInfo.mState;
  }

  struct Packet
  {
    std::string mFrom;
    std::string mTo;
    Datagram mDatagram;
  };

  MembershipOptions mOptions;
  ManualClock mClock;
  uint64_t mSeed = 0;
  uint64_t mSentCount = 0;
  std::string mCutOff;
  std::map<std::string, int64_t> mVersions;
  std::deque<Packet> mQueue;
  std::map<std::string, std::unique_ptr<Membership>> mMembers;
};

GossipRecord MakeRecord(const std::string& aKey, uint64_t aSequence = 1)
{
  GossipRecord record;
  record.mTopic = "topic";
  record.mKey = aKey;
  record.mSequence = aSequence;
  return record;
}

} // namespace

// Guards against a member that stays dead forever after a partition has healed,
// because gossip of its death ended before it could refute it.
Test(membership, a_member_refutes_its_death_after_a_long_partition)
{
  Network network;
  network.Connect({ "a", "b", "c" });
  network.Run(Milliseconds(3000));
  network.mCutOff = "c";
  network.Run(std::chrono::minutes(5));
  cr_assert_eq(network.StateOf("a", "c"), MemberState::Dead);
  network.mCutOff.clear();
  network.Run(Milliseconds(5000));
  cr_assert_eq(network.StateOf("a", "c"), MemberState::Alive);
  cr_assert_eq(network.StateOf("b", "c"), MemberState::Alive);
  cr_assert_eq(network.StateOf("c", "a"), MemberState::Alive);
}

// Guards against a daemon that joins after the gossip of a record has ended and
// never learns about lease holders, loads or quarantines.
Test(membership, a_late_joiner_learns_facts_and_members)
{
  Network network;
  network.Connect({ "a", "b", "c" });
  for (int i = 0; i < 200; ++i) {
    network.At("a").Publish(MakeRecord(std::to_string(i)));
  }
  network.Run(std::chrono::minutes(1));
  network.Add("d");
  network.At("d").SetSeeds({ Identity("b", 0) });
  network.Run(Milliseconds(5000));
  cr_assert_eq(network.At("d").Records("topic").size(), 200);
  cr_assert_eq(network.At("d").LiveMembers().size(), 3);
}

// Guards against unbounded memory: hosts are replaced regularly, and most
// records are about short-lived objects.
Test(membership, forgets_dead_members_and_expired_facts)
{
  Network network;
  network.Connect({ "a", "b" });
  network.Add("c");
  network.At("c").SetSeeds({ Identity("a", 0) });
  GossipRecord record = MakeRecord("short");
  record.mLifetimeMs = 10000;
  network.At("a").Publish(record);
  network.Run(Milliseconds(5000));
  cr_assert(network.At("b").Members().contains("c"));
  cr_assert(network.At("b").FindRecord("topic", "short") != nullptr);
  network.mMembers.erase("c");
  network.Run(std::chrono::minutes(3));
  cr_assert(!network.At("a").Members().contains("c"));
  cr_assert(!network.At("b").Members().contains("c"));
  cr_assert(network.At("b").FindRecord("topic", "short") == nullptr);
}

// Guards against new records that evict stored ones when the limit is reached.
Test(membership, drops_facts_beyond_the_bound)
{
  Network network;
  network.mOptions.mMaxRecords = 2;
  network.Add("a");
  for (const char* key : { "1", "2", "3" }) {
    network.At("a").Publish(MakeRecord(key));
  }
  network.At("a").Publish(MakeRecord("1", 2));
  cr_assert_eq(network.At("a").Records("topic").size(), 2);
  cr_assert_eq(network.At("a").FindRecord("topic", "1")->mSequence, 2);
}

// Guards against resetting a member's known configuration version when it
// refutes a suspicion, and against keeping the version when it restarts.
Test(membership, the_version_survives_refutation_but_not_a_restart)
{
  Network network;
  network.mVersions["b"] = 9;
  network.Connect({ "a", "b" });
  network.Run(Milliseconds(3000));
  MemberUpdate refuted = network.At("b").Self();
  refuted.mIncarnation += 1;
  Datagram gossip;
  gossip.mSender = Identity("c", 1);
  gossip.mUpdates.push_back(refuted);
  network.At("a").Receive(gossip);
  cr_assert_eq(network.At("a").Members().at("b").mConfigVersion, 9);
  network.mVersions["b"] = 0;
  network.Add("b", 100);
  network.At("b").SetSeeds({ Identity("a", 0) });
  network.Run(Milliseconds(2000));
  cr_assert_eq(network.At("a").Members().at("b").mConfigVersion, 0);
}

// Guards against ignoring a restarted daemon as outdated because its clock is
// behind that of its earlier process.
Test(membership, a_restart_with_a_lower_incarnation_catches_up)
{
  Network network;
  network.Connect({ "a", "b" });
  network.Add("b", 50);
  network.At("b").SetSeeds({ Identity("a", 0) });
  network.Run(Milliseconds(3000));
  network.Add("b", 20);
  network.At("b").SetSeeds({ Identity("a", 0) });
  network.Run(Milliseconds(6000));
  network.At("b").SetDraining();
  network.Run(Milliseconds(2000));
  cr_assert_gt(network.At("b").Self().mIncarnation, 50);
  cr_assert(network.At("a").Members().at("b").mInfo.mDraining);
}

// Guards against anti-entropy traffic between members that agree.
Test(membership, agreeing_members_answer_no_digest)
{
  Network network;
  network.Connect({ "a", "b" });
  network.At("a").Publish(MakeRecord("1"));
  network.Run(std::chrono::minutes(1));
  const uint64_t before = network.mSentCount;
  network.Run(Milliseconds(10000));
  // Two members, each with a probe and an acknowledgement in each of 40 ticks,
  // and two sync requests.
  cr_assert_leq(network.mSentCount - before, 2 * (40 * 2 + 2));
}
