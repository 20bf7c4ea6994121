#include "agatetide/policy/shutdown_admission.hpp"

#include <algorithm>

namespace agatetide::policy {

bool FitsBeforeStop(const PendingRequest& aRequest, Duration aTimeUntilStop)
{
  const Duration usual =
    aRequest.mUsualLatency.value_or(aRequest.mTargetLatency);
  const Duration needed = aRequest.mIdempotent
                            ? std::min(usual, aRequest.mTimeLeft)
                            : aRequest.mTimeLeft;
  return needed <= aTimeUntilStop;
}

} // namespace agatetide::policy
