#include "agatetide/policy/replica_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace agatetide::policy {

namespace {

bool IsUsable(const ReplicaCandidate& aCandidate)
{
  return !aCandidate.mDraining && !aCandidate.mExcluded;
}

/// Keeps aCount random elements and removes the others.
void KeepRandomSample(std::vector<size_t>& aIndices,
                      unsigned aCount,
                      const Random& aRandom)
{
  const size_t count = std::min<size_t>(aCount, aIndices.size());
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
  // The reported number varies by about its square root; a smaller excess does
  // not indicate requests of other daemons.
  const double explained =
    aCandidate.mMeanOwnRunning + std::sqrt(aCandidate.mMeanOwnRunning);
  return aCandidate.mOwnRunning + std::max(0.0, reported - explained);
}

std::optional<size_t> ChooseReplica(
  std::span<const ReplicaCandidate> aCandidates,
  const ReplicaChoiceOptions& aOptions,
  const Random& aRandom,
  uint64_t& aRoundRobin)
{
  std::vector<size_t> preferred;
  std::vector<size_t> others;
  const bool roundRobin = aOptions.mPolicy == ReplicaPolicy::RoundRobin;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (IsUsable(aCandidates[i])) {
      (aCandidates[i].mSameRegion || roundRobin ? preferred : others)
        .push_back(i);
    }
  }
  if (preferred.empty() && others.empty()) {
    return std::nullopt;
  }
  if (roundRobin) {
    return preferred[aRoundRobin++ % preferred.size()];
  }
  KeepRandomSample(preferred, aOptions.mSampleSize, aRandom);
  KeepRandomSample(others, aOptions.mSampleSize, aRandom);
  std::optional<size_t> best;
  double lowestCost = std::numeric_limits<double>::infinity();
  const auto compare = [&](size_t aIndex, double aRegionCost) {
    const double cost = EstimatedRequests(aCandidates[aIndex]) + aRegionCost;
    if (cost < lowestCost) {
      lowestCost = cost;
      best = aIndex;
    }
  };
  for (const size_t index : preferred) {
    compare(index, 0.0);
  }
  for (const size_t index : others) {
    compare(index, aOptions.mCrossRegionCost);
  }
  return best;
}

} // namespace agatetide::policy
