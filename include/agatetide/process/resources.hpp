#pragma once

#include <cstddef>
#include <cstdint>

namespace agatetide::process {

/// @brief What the process uses now; 0 where the system does not tell.
struct ResourceUsage
{
  size_t mResidentBytes = 0;
  size_t mPeakResidentBytes = 0;
  /// Reserved address space, whether it is used or not.
  size_t mAddressSpaceBytes = 0;
  size_t mDescriptors = 0;
};

/// @brief Limits of the process.
struct ResourceLimits
{
  size_t mMemoryBytes = 0;
  size_t mDescriptors = 0;
};

ResourceUsage ReadResourceUsage();

/// @brief Keeps the memory of the C library small: one arena for all threads,
/// small thread stacks, and large buffers that return to the system as soon as
/// they are freed. Call it before any other thread runs.
void ConfigureMemory();

/// @brief Keeps memory in reserve for small allocations: when the system
/// refuses memory, the reserve is released, and what is large fails first.
/// Fills what was released, if the system has memory again. Call it from time
/// to time. Thread-safe.
void RefillMemoryReserve();

/// @brief Raises the soft limit of descriptors up to the hard one if it is
/// below aWanted, and returns what may be used: aWanted, or the limit if that
/// is less. A line tells of a limit below aWanted.
size_t RaiseDescriptorLimit(size_t aWanted);

/// @brief Returns the memory that the process may use: aWanted, or less where
/// a limit of the kernel is below it. What is reserved of the address space but
/// not used counts where that is limited. A line tells of a limit below
/// aWanted. Precondition: the threads of the process run, since their stacks
/// are reserved.
size_t UsableMemory(size_t aWanted);

} // namespace agatetide::process
