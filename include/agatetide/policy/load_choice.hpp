#pragma once

#include "agatetide/base/random.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace agatetide::policy {

enum class ReplicaChoicePolicy
{
  /// ChooseReplica() and ChooseItemReplica(), which compare counts.
  LeastRequests,
  /// ChooseByExpectedTime() for services whose replicas report their pace.
  ExpectedTime,
};

/// @brief A replica that can run a request, with its estimated load.
struct LoadCandidate
{
  /// Estimated running and waiting requests of all hosts.
  double mRequests = 0.0;
  unsigned mSlots = 1;
  /// Estimated time that work takes now, relative to the usual time.
  double mPace = 1.0;
  bool mSameRegion = true;
  /// As EstimatedLoad::mCertainty.
  double mCertainty = 0.0;
  /// True if the replica must not be chosen.
  bool mExcluded = false;
  /// Usual time of the request on this replica.
  double mWorkSeconds = 0.1;
  /// Time saved because the replica has read the prompt before.
  double mSavedSeconds = 0.0;
};

struct LoadChoiceOptions
{
  /// Time that the way to another region and back adds.
  double mRoundTripSeconds = 0.06;
  /// Expected time until the pace changes. Phases of slowness last about 0.6 s,
  /// and a request meets one in its middle on average.
  double mPaceLastsSeconds = 0.3;
  /// Replicas without an estimated free slot are not chosen. Estimates are
  /// rounded: between reports they are fractions.
  bool mFreeSlotsOnly = false;
  /// Difference of expected times by which weights fall by a factor of e: the
  /// work, but not more than this.
  double mMaxTimeScaleSeconds = 0.1;
  /// Bound of the factor by which time lowers a weight, as a power of e.
  /// Hosts that all avoid the same slow replicas would overload the others.
  double mMaxTimeExponent = 2.0;
  /// Mean certainty if there are recent reports of all replicas: reports are
  /// at least 0.1 s old.
  double mUsualCertainty = 0.5;
  /// Bound of the factor by which differences of loads count for more where
  /// little is known. A replay with 300 hosts had 12% more rejections at 4.
  double mMaxDifferenceFactor = 8.0;
};

/// @brief Time until the replica would complete the request: waiting for a
/// slot, the work at the current pace as long as that lasts, and the way to
/// another region. Thread-safe.
double ExpectedSeconds(const LoadCandidate& aCandidate,
                       const LoadChoiceOptions& aOptions);

/// @brief Chooses a replica at random, weighted by free capacity and by
/// expected time, so that hosts with the same information do not choose the
/// same replica. Replicas of other regions take part only if one of them is
/// expected to be faster than each of this region. Returns std::nullopt if
/// there is none. Thread-safe if aRandom is.
std::optional<size_t> ChooseByExpectedTime(
  std::span<const LoadCandidate> aCandidates,
  const LoadChoiceOptions& aOptions,
  const Random& aRandom);

} // namespace agatetide::policy
