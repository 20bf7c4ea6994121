#include "agatetide/policy/limit_share.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <cmath>

namespace agatetide::policy {

namespace {

/// Number of other hosts that come before aHost in the order of the replica's
/// hosts, which is the same on all hosts.
size_t RankOf(std::string_view aHost,
              std::string_view aReplicaId,
              std::span<const std::string_view> aOthers)
{
  const uint64_t seed = Hash64(aReplicaId);
  const auto own = std::pair(Hash64(aHost, seed), aHost);
  return static_cast<size_t>(
    std::count_if(aOthers.begin(), aOthers.end(), [&](std::string_view aOther) {
      return aOther != aHost && std::pair(Hash64(aOther, seed), aOther) < own;
    }));
}

} // namespace

double ShareOfLimit(const LimitShareInput& aInput,
                    const LimitShareOptions& aOptions)
{
  const double limit =
    std::max(aInput.mRequestsPerSecond, aOptions.mMinRequestsPerSecond);
  const auto hosts = aInput.mAnnounced ? aInput.mOtherUsers : aInput.mHosts;
  const size_t total = aInput.mAnnounced ? hosts.size() + 1 : hosts.size();
  const double maxHosts = std::floor(limit) + aOptions.mExtraHosts;
  if (static_cast<double>(RankOf(aInput.mHost, aInput.mReplicaId, hosts)) >=
      maxHosts) {
    return 0.0;
  }
  const double part = aInput.mAnnounced ? 1.0 : aOptions.mUnannouncedPart;
  return limit * part / std::clamp(static_cast<double>(total), 1.0, maxHosts);
}

double RequestPacer::TokensAt(TimePoint aNow) const
{
  const double elapsed = Seconds(aNow - mUpdatedAt);
  const double capacity =
    std::max(1.0, mRequestsPerSecond * mOptions.mBurstSeconds);
  return std::min(mTokens + elapsed * mRequestsPerSecond, capacity);
}

void RequestPacer::SetRate(double aRequestsPerSecond, TimePoint aNow)
{
  mTokens = aRequestsPerSecond > 0.0 ? TokensAt(aNow) : 0.0;
  mUpdatedAt = aNow;
  mRequestsPerSecond = aRequestsPerSecond;
}

Duration RequestPacer::Delay(TimePoint aNow) const
{
  // Rounding may leave slightly less than one token after the delay.
  constexpr double kOneToken = 1.0 - 1e-6;
  const double tokens = TokensAt(aNow);
  if (tokens >= kOneToken) {
    return Duration::zero();
  }
  if (mRequestsPerSecond <= 0.0) {
    return Duration::max();
  }
  return std::chrono::ceil<Duration>(
    std::chrono::duration<double>((1.0 - tokens) / mRequestsPerSecond));
}

void RequestPacer::Take(TimePoint aNow)
{
  mTokens = TokensAt(aNow) - 1.0;
  mUpdatedAt = aNow;
}

} // namespace agatetide::policy
