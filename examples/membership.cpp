// Three members discover each other, share a gossip record and detect a
// failure.
#include "run.hpp"

#include <agatetide/coordination/membership.hpp>

#include <deque>

using namespace agatetide;
using namespace agatetide::coordination;

int main()
{
  ManualClock clock;
  std::deque<std::pair<std::string, Datagram>> network;
  std::map<std::string, Membership> members;
  MemberUpdate seed;
  seed.mAddress = "a";
  for (const char* address : { "a", "b", "c" }) {
    MemberUpdate self;
    self.mAddress = address;
    self.mIncarnation = 1;
    MembershipHooks hooks;
    hooks.mSend = [&](const std::string& aTo, const Datagram& aDatagram) {
      network.emplace_back(aTo, aDatagram);
    };
    hooks.mOnChange = [](const Member&) {};
    hooks.mOnProbeAck = [](const ProbeResult&) {};
    hooks.mFillConfigFields = [](Datagram&) {};
    auto created = Membership::Create(
      self, {}, hooks, clock.AsClock(), SeededRandom(members.size() + 1));
    members.emplace(address, std::move(created.value()));
    members.at(address).SetSeeds({ seed });
  }
  const auto runTicks = [&](int aTicks) {
    for (int i = 0; i < aTicks; ++i) {
      clock.Advance(MembershipOptions{}.mProbeInterval);
      for (auto& [address, member] : members) {
        member.Tick();
      }
      while (!network.empty()) {
        const auto [to, datagram] = network.front();
        network.pop_front();
        if (members.contains(to)) {
          members.at(to).Receive(datagram);
        }
      }
    }
  };
  runTicks(20);
  Expect(members.at("c").LiveMembers().size() == 2, "c knows a and b");
  GossipRecord record;
  record.mTopic = "load";
  record.mKey = "replica-1";
  record.mValue = "0.5";
  record.mSequence = 1;
  members.at("b").Publish(record);
  runTicks(20);
  Expect(members.at("c").FindRecord("load", "replica-1") != nullptr,
         "c knows what b published");
  members.erase("b");
  runTicks(40);
  Expect(members.at("c").LiveMembers().size() == 1,
         "c detects the failure of b");
}
