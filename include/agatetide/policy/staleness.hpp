#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace agatetide::policy {

enum class StalenessPolicy
{
  /// Checks a sample only when it is delivered.
  AtDelivery,
  /// Also checks before and while a sample is generated.
  DuringGeneration,
};

/// @brief Returns whether a sample that these weight versions generated may be
/// delivered: all versions are known, and the oldest is at most
/// aStalenessBound versions behind the published one. Without a bound, the
/// versions need only be known.
bool MayDeliver(std::span<const uint64_t> aVersions,
                uint64_t aPublishedVersion,
                std::optional<uint32_t> aStalenessBound);

/// @brief Estimates how often new versions of a model are published. Not
/// thread-safe.
class VersionRate
{
public:
  /// @brief Records the currently published version.
  void Observe(uint64_t aVersion, TimePoint aNow);

  /// @brief Returns the number of versions expected to be published within
  /// aTime from aNow; 0 until two versions were observed.
  uint64_t ExpectedVersions(Duration aTime, TimePoint aNow) const;

private:
  uint64_t mLatestVersion = 0;
  TimePoint mLatestVersionTime{};
  /// Exponentially weighted mean; 0 until two versions were observed.
  double mIntervalSeconds = 0.0;
};

/// @brief State in which a sample is about to start on an engine.
struct SampleStartCheck
{
  /// Version of the engine, or the oldest version of the sample so far.
  uint64_t mVersion = 0;
  uint64_t mPublishedVersion = 0;
  uint32_t mStalenessBound = 0;
  /// Versions expected to be published before the sample finishes.
  uint64_t mExpectedVersions = 0;
};

/// @brief Returns whether the sample should start now. If not, it should wait
/// for the engine to load new weights, after which it gets the published
/// version. A sample on the published version always starts, since waiting
/// cannot make it fresher.
bool ShouldStartSample(const SampleStartCheck& aCheck);

} // namespace agatetide::policy
