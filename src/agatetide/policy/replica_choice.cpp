#include "agatetide/policy/replica_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace agatetide::policy {

namespace {

bool Usable(const ReplicaCandidate& aCandidate)
{
  return !aCandidate.mLeaving && !aCandidate.mExcluded;
}

/// Moves aSampled random elements to the front and cuts the rest off.
void Sample(std::vector<size_t>& aIndices,
            unsigned aSampled,
            const Random& aRandom)
{
  const size_t count = std::min<size_t>(aSampled, aIndices.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(aIndices[i],
              aIndices[i + UniformBelow(aRandom, aIndices.size() - i)]);
  }
  aIndices.resize(count);
}

} // namespace

double EstimatedRequests(const ReplicaCandidate& aCandidate)
{
  const double reported =
    aCandidate.mReportedRunning + aCandidate.mReportedQueued;
  // The report is a sample of a number that varies by about its square root;
  // a smaller difference is no sign of other daemons' requests.
  const double explained =
    aCandidate.mOwnRunningAverage + std::sqrt(aCandidate.mOwnRunningAverage);
  return aCandidate.mOwnRunning + std::max(0.0, reported - explained);
}

std::optional<size_t> ChooseReplica(
  std::span<const ReplicaCandidate> aCandidates,
  const ReplicaChoiceOptions& aOptions,
  const Random& aRandom,
  uint64_t& aTurn)
{
  std::vector<size_t> near;
  std::vector<size_t> far;
  const bool roundRobin = aOptions.mPolicy == ReplicaPolicy::RoundRobin;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (Usable(aCandidates[i])) {
      (aCandidates[i].mSameRegion || roundRobin ? near : far).push_back(i);
    }
  }
  if (near.empty() && far.empty()) {
    return std::nullopt;
  }
  if (roundRobin) {
    return near[aTurn++ % near.size()];
  }
  Sample(near, aOptions.mSampleSize, aRandom);
  Sample(far, aOptions.mSampleSize, aRandom);
  std::optional<size_t> best;
  double lowest = std::numeric_limits<double>::infinity();
  const auto compare = [&](size_t aIndex, double aPrice) {
    const double cost = EstimatedRequests(aCandidates[aIndex]) + aPrice;
    if (cost < lowest) {
      lowest = cost;
      best = aIndex;
    }
  };
  for (const size_t index : near) {
    compare(index, 0.0);
  }
  for (const size_t index : far) {
    compare(index, aOptions.mCrossRegionCost);
  }
  return best;
}

} // namespace agatetide::policy
