#pragma once

#include "agatetide/steps/step_runner.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief What a host needs to run a step that is stored.
struct LoadedStep
{
  StepRecord mRecord;
  std::vector<StepItem> mItems;
  /// What MemoryBytes() of the items takes from the budget.
  MemoryReservation mMemory;
  LogPart mLog;
  std::vector<PartialSample> mPartials;
};

/// @brief Loads steps that this process is to run from the store. Memory is
/// reserved before anything else: a host claims no step that it cannot hold.
/// Not thread-safe.
class StepLoader
{
public:
  /// Precondition: aContext outlives the loader.
  explicit StepLoader(const StepContext& aContext);

  /// @brief Takes the memory that loading a step needs at most; std::nullopt if
  /// this host does not have it now.
  std::optional<MemoryReservation> Reserve(const StepRecord& aRecord) const;

  /// @brief Whether a step of this size would fit into the memory now.
  bool CanHold(size_t aBytes) const;

  /// @brief Whether the step is being loaded.
  bool IsLoading(std::string_view aId) const { return mLoading.contains(aId); }

  /// @brief Loads a step into memory from Reserve(). Errors: those of the
  /// store; ResourceExhausted if it takes more than that and there is no more.
  /// Precondition: the step is not being loaded.
  Awaitable<Result<LoadedStep>> Load(StepRecord aRecord,
                                     MemoryReservation aMemory);

private:
  Awaitable<Result<LoadedStep>> LoadParts(StepRecord aRecord,
                                          MemoryReservation aMemory);

  const StepContext& mContext;
  /// Ids of the steps that are being loaded.
  std::set<std::string, std::less<>> mLoading;
};

} // namespace agatetide::steps
