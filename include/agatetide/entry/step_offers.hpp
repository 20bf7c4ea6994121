#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/steps/step_service.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::entry {

/// @brief A step without an owner, for which another host is asked.
struct StepOffer
{
  std::string mStep;
  /// Memory that the host needs for it.
  uint64_t mBytes = 0;
};

std::string Encode(const StepOffer& aOffer);

/// @brief Errors: InvalidArgument if the bytes are malformed.
Result<StepOffer> DecodeStepOffer(std::string_view aBytes);

struct StepOfferOptions
{
  /// Hosts that are asked for one step in a round.
  size_t mMaxHosts = 4;
  /// A host that has refused isn't asked again for this time.
  Milliseconds mRefusalBackoff{ 1000 };
  /// Time in which a host that has accepted a step becomes its owner.
  Milliseconds mAcceptedTime{ 2000 };
};

/// @brief Decides which hosts are asked to take over a step that does not fit
/// into the memory of this one. Hosts tell whether they have the memory only
/// when they are asked, so the cost is that of the steps that nobody could hold
/// at once. Not thread-safe.
class StepOffers
{
public:
  StepOffers(StepOfferOptions aOptions, Clock aClock, std::string aSelf);

  /// @brief The hosts to ask, in this order: those of the step's region first.
  /// Empty while a host that accepted it may become its owner.
  std::vector<std::string> HostsFor(
    const steps::StepRecord& aRecord,
    const std::optional<fleet::RegionSet>& aAllowedRegions,
    const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts);

  /// @brief Records the answer of a host; a call without an answer counts as a
  /// refusal.
  void RecordAnswer(const std::string& aStep,
                    const std::string& aHost,
                    bool aAccepted);

private:
  StepOfferOptions mOptions;
  Clock mClock;
  std::string mSelf;
  /// Time until which a host is not asked for any step.
  std::map<std::string, TimePoint, std::less<>> mBackoffUntil;
  /// Time until which no host is asked for a step.
  std::map<std::string, TimePoint, std::less<>> mAcceptedUntil;
};

} // namespace agatetide::entry
