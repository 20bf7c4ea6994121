#pragma once

#include "agatetide/policy/model_assignment.hpp"
#include "agatetide/steps/step_runner.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace agatetide::steps {

/// @brief What recently submitted steps need, from the records in the store.
/// Not thread-safe; all calls must come from the daemon's executor.
class StepDemand
{
public:
  /// Steps count as demand for aWindow after their submission. Precondition:
  /// aContext outlives the object.
  StepDemand(StepContext& aContext, Milliseconds aWindow);

  /// @brief Replaces the demand by that of the steps with these records.
  void Update(std::span<const StepRecord> aRecords);

  /// @brief Expected tokens of recently submitted steps, by model; weighted by
  /// lateness if Rule() is Gain.
  const std::map<std::string, double, std::less<>>& Tokens() const
  {
    return mTokens;
  }

  /// @brief How replicas should be reassigned to meet Tokens(): by Gain if a
  /// service that runs recent steps reports a pace.
  policy::RebalanceRule Rule() const { return mRule; }

  /// @brief Peak number of items of recent steps that would run at the same
  /// time if none had to wait, by service.
  const std::map<std::string, unsigned, std::less<>>& PeakItems() const
  {
    return mPeakItems;
  }

private:
  /// When a step was last seen open and first seen ended, since its submission.
  struct OpenTime
  {
    int64_t mOpenMs = 0;
    int64_t mEndedMs = 0;
  };

  void UpdateTokens(std::span<const StepRecord> aRecords);
  policy::RecentStep ObserveStep(const StepRecord& aRecord,
                                 const fleet::Route& aRoute);
  void UpdatePeakItems(std::span<const StepRecord> aRecords);

  StepContext& mContext;
  Milliseconds mWindow;
  std::map<std::string, double, std::less<>> mTokens;
  policy::RebalanceRule mRule = policy::RebalanceRule::Share;
  /// By step id, for steps in the demand window.
  std::map<std::string, OpenTime, std::less<>> mOpenTimes;
  std::map<std::string, unsigned, std::less<>> mPeakItems;
};

} // namespace agatetide::steps
