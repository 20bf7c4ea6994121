#pragma once

#include "agatetide/steps/step_runner.hpp"

#include <map>
#include <memory>
#include <optional>
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
/// A step that is ended or taken over while it is loaded is not run: the last
/// call of a load reads its record. Not thread-safe.
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

  /// @brief Ends the load of a step that was ended; does nothing if it is not
  /// being loaded.
  void Cancel(std::string_view aId);

  /// @brief Loads a step into memory from Reserve(); std::nullopt if this
  /// process is not to run it any more. The caller must run it before it waits
  /// for anything. Errors: those of the store, also if it does not tell whether
  /// the step has ended meanwhile; ResourceExhausted if the step takes more
  /// memory than that and there is no more; Unavailable if it must be loaded
  /// again. Precondition: the step is not being loaded.
  Awaitable<Result<std::optional<LoadedStep>>> Load(StepRecord aRecord,
                                                    MemoryReservation aMemory);

private:
  struct LoadState;

  bool IsOurs(const std::optional<StepRecord>& aRecord) const;
  Awaitable<void> CheckWhileLoading(std::string aId,
                                    std::shared_ptr<LoadState> aState);
  Awaitable<Result<bool>> Confirm(StepRecord aRecord,
                                  std::shared_ptr<LoadState> aState);
  Awaitable<Result<LoadedStep>> LoadParts(StepRecord aRecord,
                                          MemoryReservation aMemory,
                                          std::shared_ptr<LoadState> aState);

  const StepContext& mContext;
  /// The steps that are being loaded, by id.
  std::map<std::string, std::shared_ptr<LoadState>, std::less<>> mLoading;
};

} // namespace agatetide::steps
