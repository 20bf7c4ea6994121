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

/// @brief Whether a sample with these weight versions may be delivered: it
/// names the versions that produced it, and the oldest lags behind the
/// published version by at most aBound. Without a bound, only the versions
/// must be named.
bool MayDeliver(std::span<const uint64_t> aVersions,
                uint64_t aPublished,
                std::optional<uint32_t> aBound);

/// @brief Learns how often new versions of a model are published. Not
/// thread-safe.
class VersionRate
{
public:
  /// @brief Notes the version that is published now.
  void Observe(uint64_t aVersion, TimePoint aNow);

  /// @brief Versions expected to be published within aTime from aNow; 0
  /// until the interval between two is known.
  uint64_t ExpectedWithin(Duration aTime, TimePoint aNow) const;

private:
  uint64_t mVersion = 0;
  TimePoint mSince{};
  double mIntervalSeconds = 0.0;
};

/// @brief What is known when a sample is about to start on an engine.
struct SampleStartCheck
{
  /// Version that the engine has, or the oldest of the sample so far.
  uint64_t mVersion = 0;
  uint64_t mPublishedVersion = 0;
  uint32_t mStalenessBound = 0;
  /// Versions expected to be published before the sample's finish.
  uint64_t mExpectedVersions = 0;
};

/// @brief Whether the sample should start now. False means to wait for the
/// engine's weight swap, which gives the sample the published version. A
/// sample on the published version always starts, since waiting cannot make
/// it fresher.
bool ShouldStartSample(const SampleStartCheck& aCheck);

} // namespace agatetide::policy
