#include "agatetide/policy/load_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace agatetide::policy {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
/// Weight of a replica whose estimated free capacity is used up, in slots. It
/// is above 0 since the estimate may be wrong for all replicas.
constexpr double kMinFreeSlots = 0.25;
/// Avoids a division by 0 if nothing is known of any replica.
constexpr double kMinCertainty = 0.001;
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

/// Weight for aRequests running and waiting requests.
double FreeSlots(double aSlots, double aRequests)
{
  const double free = aSlots - aRequests;
  return free >= kMinFreeSlots ? free
                               : kMinFreeSlots / (1.0 + kMinFreeSlots - free);
}

/// What the candidates have in common.
struct Means
{
  double mRequestsPerSlot = 0.0;
  double mCertainty = 0.0;
};

Means ComputeMeans(std::span<const LoadCandidate> aCandidates)
{
  double requests = 0.0;
  double slots = 0.0;
  double certainty = 0.0;
  for (const LoadCandidate& candidate : aCandidates) {
    requests += candidate.mRequests;
    slots += std::max(1U, candidate.mSlots);
    certainty += candidate.mCertainty;
  }
  return { requests / slots,
           certainty / static_cast<double>(aCandidates.size()) };
}

/// Factor of differences from the mean load. If this host knows a part of the
/// replicas, other hosts know about as large a part, and others of them: only
/// that part of the hosts reacts to what is known of a replica.
double DifferenceFactor(const Means& aMeans, const LoadChoiceOptions& aOptions)
{
  return std::clamp(aOptions.mUsualCertainty /
                      std::max(aMeans.mCertainty, kMinCertainty),
                    1.0,
                    aOptions.mMaxDifferenceFactor);
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
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::vector<double> seconds(aCandidates.size(), kInfinity);
  double shortestHere = kInfinity;
  double shortestElsewhere = kInfinity;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (IsCandidate(aCandidates[i], aOptions)) {
      seconds[i] = ExpectedSeconds(aCandidates[i], aOptions);
      double& shortest =
        aCandidates[i].mSameRegion ? shortestHere : shortestElsewhere;
      shortest = std::min(shortest, seconds[i]);
    }
  }
  const bool useOthers = shortestElsewhere < shortestHere;
  const double shortest = std::min(shortestHere, shortestElsewhere);
  const Means means = ComputeMeans(aCandidates);
  const double factor = DifferenceFactor(means, aOptions);
  std::vector<double> weights(aCandidates.size(), 0.0);
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const LoadCandidate& candidate = aCandidates[i];
    if (seconds[i] == kInfinity || (!candidate.mSameRegion && !useOthers)) {
      continue;
    }
    const double mean = means.mRequestsPerSlot * candidate.mSlots;
    const double requests = mean + factor * (candidate.mRequests - mean);
    const double scale = std::clamp(
      candidate.mWorkSeconds, kMinSeconds, aOptions.mMaxTimeScaleSeconds);
    const double exponent =
      std::min((seconds[i] - shortest) / scale, aOptions.mMaxTimeExponent);
    weights[i] = FreeSlots(candidate.mSlots, requests) * std::exp(-exponent);
  }
  return DrawWeighted(weights, aRandom);
}

} // namespace agatetide::policy
