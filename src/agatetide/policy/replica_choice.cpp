#include "agatetide/policy/replica_choice.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

double Cost(const ReplicaCandidate& aCandidate,
            const ReplicaChoiceOptions& aOptions)
{
  // The report may or may not contain this daemon's own requests already;
  // the larger of the two never counts them twice.
  const double ahead =
    std::max<double>(aCandidate.mReportedRunning + aCandidate.mReportedQueued,
                     aCandidate.mOwnRunning);
  return ahead + (aCandidate.mSameRegion ? 0.0 : aOptions.mRegionPrice);
}

std::vector<size_t> Usable(std::span<const ReplicaCandidate> aCandidates)
{
  std::vector<size_t> usable;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (!aCandidates[i].mLeaving && !aCandidates[i].mExcluded) {
      usable.push_back(i);
    }
  }
  return usable;
}

} // namespace

std::optional<size_t> ChooseReplica(
  std::span<const ReplicaCandidate> aCandidates,
  const ReplicaChoiceOptions& aOptions,
  const Random& aRandom,
  uint64_t& aTurn)
{
  std::vector<size_t> usable = Usable(aCandidates);
  if (usable.empty()) {
    return std::nullopt;
  }
  if (aOptions.mPolicy == ReplicaPolicy::RoundRobin) {
    return usable[aTurn++ % usable.size()];
  }
  const size_t sampled = std::min<size_t>(aOptions.mSampled, usable.size());
  for (size_t i = 0; i < sampled; ++i) {
    std::swap(usable[i], usable[i + UniformBelow(aRandom, usable.size() - i)]);
  }
  const auto best =
    std::min_element(usable.begin(),
                     usable.begin() + static_cast<std::ptrdiff_t>(sampled),
                     [&](size_t aLeft, size_t aRight) {
                       return Cost(aCandidates[aLeft], aOptions) <
                              Cost(aCandidates[aRight], aOptions);
                     });
  return *best;
}

} // namespace agatetide::policy
