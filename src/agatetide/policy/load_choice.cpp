#include "agatetide/policy/load_choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <vector>

namespace agatetide::policy {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
/// Weight of a replica whose estimated free capacity is used up, in slots. It
/// is above 0 since the estimate may be wrong for all replicas.
constexpr double kMinFreeSlots = 0.25;
/// Share of the work by which an expected time must differ to lower a weight
/// by a factor of e.
constexpr double kTimeScale = 0.25;
/// Lower bound of times that are divisors.
constexpr double kMinSeconds = 0.001;

bool IsCandidate(const LoadCandidate& aCandidate,
                 const LoadChoiceOptions& aOptions)
{
  return !aCandidate.mExcluded &&
         (!aOptions.mFreeSlotsOnly ||
          std::round(aCandidate.mRequests) + 1.0 <= aCandidate.mSlots);
}

/// The time that work takes if the pace lasts for a while and is usual then.
double SecondsAtPace(double aWorkSeconds, double aPace, double aLastsSeconds)
{
  const double pace = std::max(aPace, kMinSeconds);
  const double doneMeanwhile = aLastsSeconds / pace;
  return aWorkSeconds <= doneMeanwhile
           ? aWorkSeconds * pace
           : aLastsSeconds + (aWorkSeconds - doneMeanwhile);
}

double FreeSlots(const LoadCandidate& aCandidate)
{
  const double free = aCandidate.mSlots - aCandidate.mRequests;
  return free >= kMinFreeSlots ? free
                               : kMinFreeSlots / (1.0 + kMinFreeSlots - free);
}

/// Draws an index with a probability in proportion to its weight; std::nullopt
/// if all weights are 0.
std::optional<size_t> DrawWeighted(std::span<const double> aWeights,
                                   const Random& aRandom)
{
  double total = 0.0;
  for (const double weight : aWeights) {
    total += weight;
  }
  double rest = UniformUnit(aRandom) * total;
  std::optional<size_t> last;
  for (size_t i = 0; i < aWeights.size(); ++i) {
    if (aWeights[i] > 0.0) {
      last = i;
      rest -= aWeights[i];
      if (rest < 0.0) {
        break;
      }
    }
  }
  return last;
}

} // namespace

double ExpectedSeconds(const LoadCandidate& aCandidate,
                       const LoadChoiceOptions& aOptions)
{
  const double slots = std::max(1U, aCandidate.mSlots);
  const double waiting = std::max(0.0, aCandidate.mRequests + 1.0 - slots);
  const double work = aCandidate.mWorkSeconds * (1.0 + waiting / slots);
  return SecondsAtPace(work, aCandidate.mPace, aOptions.mPaceLastsSeconds) +
         (aCandidate.mSameRegion ? 0.0 : aOptions.mRoundTripSeconds) -
         aCandidate.mSavedSeconds;
}

std::optional<size_t> ChooseByExpectedTime(
  std::span<const LoadCandidate> aCandidates,
  const LoadChoiceOptions& aOptions,
  const Random& aRandom)
{
  std::vector<double> seconds(aCandidates.size(), kInfinity);
  // Of other regions and of this one.
  std::array<double, 2> shortest{ kInfinity, kInfinity };
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (IsCandidate(aCandidates[i], aOptions)) {
      seconds[i] = ExpectedSeconds(aCandidates[i], aOptions);
      double& least = shortest[aCandidates[i].mSameRegion ? 1 : 0];
      least = std::min(least, seconds[i]);
    }
  }
  const bool useOthers = shortest[0] < shortest[1];
  const double least = useOthers ? shortest[0] : shortest[1];
  std::vector<double> weights(aCandidates.size(), 0.0);
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const LoadCandidate& candidate = aCandidates[i];
    if (seconds[i] == kInfinity || (!candidate.mSameRegion && !useOthers)) {
      continue;
    }
    const double scale = std::clamp(kTimeScale * candidate.mWorkSeconds,
                                    kMinSeconds,
                                    aOptions.mMaxTimeScaleSeconds);
    const double exponent =
      std::min((seconds[i] - least) / scale, aOptions.mMaxTimeExponent);
    weights[i] = FreeSlots(candidate) * std::exp(-exponent);
  }
  return DrawWeighted(weights, aRandom);
}

} // namespace agatetide::policy
