#pragma once

#include "agatetide/steps/step_demand.hpp"
#include "agatetide/steps/step_reader.hpp"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace agatetide::steps {

enum class SubmitOutcome
{
  Accepted,
  /// The step is not stored and will not run.
  Refused,
  /// The step may be stored, now or later.
  Unknown,
};

struct StepServiceOptions
{
  /// Ended steps are deleted this long after their submission.
  Milliseconds mRetention{ 180000 };
  /// Items that were stored for a step that was not created are deleted this
  /// long after its submission.
  Milliseconds mAbandonedItemsRetention{ 60000 };
};

/// @brief Accepts, ends and recovers the steps of this daemon. Not thread-safe;
/// all calls must come from the daemon's executor.
class StepService
{
public:
  /// Precondition: aContext and aRunner outlive the service.
  StepService(StepContext& aContext,
              StepRunner& aRunner,
              StepServiceOptions aOptions = {});

  /// @brief Stores a step and starts it; retries until aDeadline. A repeated
  /// submission is accepted, but does not create a second step.
  Awaitable<SubmitOutcome> Submit(StepSubmission aSubmission,
                                  TimePoint aDeadline);

  /// @brief Ends a step. If another daemon runs it, that one stops it with its
  /// next check of the record. Errors: NotFound if the client account
  /// has no step with this id; Unavailable if the record keeps changing;
  /// otherwise those of the store. The value is always true.
  Awaitable<Result<bool>> End(std::string aId, std::string aAccount);

  /// @brief Takes over the steps whose owner is not in aLiveOwners and for
  /// which aIsResponsible returns true, and the steps of this process that do
  /// not run. Deletes expired steps if aDeleteExpired is set. Returns false if
  /// the steps could not all be read or taken over.
  Awaitable<bool> Recover(std::set<std::string> aLiveOwners,
                          std::function<bool(const StepRecord&)> aIsResponsible,
                          bool aDeleteExpired);

  /// @brief Whether a step owned by this process could not be loaded, so that
  /// Recover() must be called again.
  bool NeedsRecovery() const { return mNeedsRecovery; }

  /// @brief Serves the results and items of steps of all daemons.
  StepReader& Reader() { return mReader; }

  /// @brief What recent steps need, as of the last Recover().
  const StepDemand& Demand() const { return mDemand; }

private:
  Awaitable<void> ResolveUnknownCreate(std::string aId);
  Awaitable<void> ResolveUnknownClaim(std::string aId, int64_t aRevision);
  bool IsOrphan(const StepRecord& aRecord) const;
  Awaitable<bool> TakeOver(StepRecord aRecord);
  Awaitable<bool> AdoptStored(StepRecord aRecord);
  void LogMemoryShortage(std::string_view aEvent, const std::string& aId) const;

  StepContext& mContext;
  StepRunner& mRunner;
  StepServiceOptions mOptions;
  StepReader mReader;
  StepDemand mDemand;
  /// Ids of steps that may be stored although creating them failed.
  std::set<std::string> mUnknownCreates;
  /// Ids of steps of which this process may become the owner although claiming
  /// them failed.
  std::set<std::string> mUnknownClaims;
  bool mNeedsRecovery = false;
};

} // namespace agatetide::steps
