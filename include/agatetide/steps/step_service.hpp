#pragma once

#include "agatetide/base/event_log.hpp"
#include "agatetide/steps/step_demand.hpp"
#include "agatetide/steps/step_loader.hpp"
#include "agatetide/steps/step_reader.hpp"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

enum class SubmitOutcome
{
  Accepted,
  /// The step is not stored and will not run.
  Refused,
  /// The step may be stored, now or later.
  Unknown,
};

/// @brief A step without an owner for which this host has no memory.
struct DeclinedStep
{
  StepRecord mRecord;
  /// The memory that it needs.
  size_t mBytes = 0;
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
  /// not run, as far as there is memory for them; see Declined(). Deletes
  /// expired steps if aDeleteExpired is set. Returns false if the steps could
  /// not all be read or taken over.
  Awaitable<bool> Recover(std::set<std::string> aLiveOwners,
                          std::function<bool(const StepRecord&)> aIsResponsible,
                          bool aDeleteExpired);

  /// @brief Whether Recover() must be called again: a step owned by this
  /// process could not be loaded, or one without an owner is wanted here.
  bool NeedsRecovery() const { return mNeedsRecovery || !mWanted.empty(); }

  /// @brief The steps that the last Recover() left to others for lack of
  /// memory.
  const std::vector<DeclinedStep>& Declined() const { return mDeclined; }

  /// @brief Whether this host has the memory for a step now.
  bool CanHold(size_t aBytes) const { return mLoader.CanHold(aBytes); }

  /// @brief Lets the next Recover() take over a step that another host has
  /// declined, if it has no owner by then.
  void Want(std::string aId) { mWanted.insert(std::move(aId)); }

  /// @brief Whether the step was declined here, or is wanted for another host.
  bool IsWanted(const std::string& aId) const { return mWanted.contains(aId); }

  /// @brief Serves the results and items of steps of all daemons.
  StepReader& Reader() { return mReader; }

  /// @brief What recent steps need, as of the last Recover().
  const StepDemand& Demand() const { return mDemand; }

private:
  Awaitable<void> ResolveUnknownCreate(std::string aId);
  Awaitable<void> ResolveUnknownClaim(std::string aId, int64_t aRevision);
  bool IsOrphan(const StepRecord& aRecord) const;
  Awaitable<bool> TakeOverAll(std::vector<StepRecord> aRecords);
  Awaitable<bool> TakeOver(StepRecord aRecord);
  Awaitable<Result<bool>> IsCompleteInLog(StepRecord aRecord);
  Awaitable<Result<std::optional<StepRecord>>> Claim(StepRecord aRecord);
  Awaitable<Result<std::optional<StepRecord>>> ReadOwnRecord(
    StepRecord aRecord);
  Awaitable<bool> Decline(StepRecord aRecord);
  Awaitable<void> AdoptFound(StepRecord aRecord);
  Awaitable<bool> AdoptStored(StepRecord aRecord, MemoryReservation aMemory);
  Awaitable<void> DeleteExpired(StepRecord aRecord);
  void LogMemoryShortage(std::string_view aEvent, const std::string& aId) const;

  StepContext& mContext;
  StepRunner& mRunner;
  StepServiceOptions mOptions;
  StepLoader mLoader;
  StepReader mReader;
  StepDemand mDemand;
  /// Ids of steps that Submit() is storing. Once for each call.
  std::multiset<std::string> mSubmitting;
  /// Ids of steps that may be stored although creating them failed.
  std::set<std::string> mUnknownCreates;
  /// Ids of steps of which this process may become the owner although claiming
  /// them failed.
  std::set<std::string> mUnknownClaims;
  bool mNeedsRecovery = false;
  std::vector<DeclinedStep> mDeclined;
  /// Ids of steps without an owner that this process takes over if it can.
  std::set<std::string> mWanted;
  LogLimiter mDeclineLog;
};

} // namespace agatetide::steps
