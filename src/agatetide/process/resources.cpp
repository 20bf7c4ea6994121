#include "agatetide/process/resources.hpp"

#include "agatetide/base/event_log.hpp"

#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::process {

namespace {

constexpr int kMaxArenas = 1;
/// By default the C library adapts to the largest buffer so far, and what was
/// freed after a flood of responses stays with the process in pieces.
constexpr int kLargeBufferBytes = 128 << 10;
constexpr size_t kThreadStackBytes = size_t{ 1 } << 20U;
/// What is left of the address space for what is mapped later, such as the
/// buffers of the C library for files.
constexpr size_t kAddressSpaceMarginBytes = size_t{ 4 } << 20U;

/// Below the size from which the C library maps memory for each allocation, so
/// that the released reserve serves small ones.
constexpr size_t kReserveBlockBytes = size_t{ 64 } << 10U;
constexpr size_t kReserveBlocks = 32;
/// Blocks of the reserve; null if released.
std::array<std::atomic<void*>, kReserveBlocks> gReserve{};

/// Releases the reserve. The new-handler of the process.
void ReleaseReserve()
{
  bool released = false;
  for (std::atomic<void*>& block : gReserve) {
    void* memory = block.exchange(nullptr);
    released = released || memory != nullptr;
    std::free(memory);
  }
  if (!released) {
    throw std::bad_alloc();
  }
}

std::optional<size_t> ParseNumber(std::string_view aText)
{
  size_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
}

size_t CountDescriptors()
{
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/self/fd", error);
  if (error) {
    return 0;
  }
  // One of them is that of the iterator.
  return static_cast<size_t>(std::distance(begin(entries), end(entries))) - 1;
}

/// The peak since this program was started. That of getrusage() includes the
/// process that started it, since exec passes it on.
size_t ReadPeakResidentBytes()
{
  std::ifstream file("/proc/self/status");
  std::string line;
  constexpr std::string_view kPeak = "VmHWM:";
  constexpr std::string_view kBlanks = " \t";
  while (std::getline(file, line)) {
    if (line.starts_with(kPeak)) {
      const std::string_view text = std::string_view(line).substr(kPeak.size());
      const size_t digits = text.find_first_not_of(kBlanks);
      const auto kibibytes =
        ParseNumber(text.substr(std::min(digits, text.size())));
      return kibibytes.value_or(0) << 10U;
    }
  }
  return 0;
}

/// The limit of the innermost control group, which may be that of a container.
std::optional<size_t> ControlGroupMemory()
{
  std::ifstream groups("/proc/self/cgroup");
  std::string line;
  constexpr std::string_view kUnified = "0::";
  while (std::getline(groups, line)) {
    if (line.starts_with(kUnified)) {
      std::ifstream file("/sys/fs/cgroup" + line.substr(kUnified.size()) +
                         "/memory.max");
      std::string limit;
      return std::getline(file, limit) ? ParseNumber(limit) : std::nullopt;
    }
  }
  return std::nullopt;
}

/// What is left of a limit of the address space for memory that is used.
std::optional<size_t> AddressSpaceForMemory()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_AS, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  const ResourceUsage usage = ReadResourceUsage();
  const size_t reserved =
    usage.mAddressSpaceBytes -
    std::min(usage.mAddressSpaceBytes, usage.mResidentBytes) +
    kAddressSpaceMarginBytes;
  return limit.rlim_cur - std::min<size_t>(limit.rlim_cur, reserved);
}

void LogLimitBelowSettings(std::string_view aLimit,
                           size_t aSettings,
                           size_t aKernel)
{
  LogEvent("limit_below_settings", LogLevel::Warning)
    .Field("limit", aLimit)
    .Field("settings", static_cast<uint64_t>(aSettings))
    .Field("usable", static_cast<uint64_t>(aKernel))
    .Write();
}

} // namespace

ResourceUsage ReadResourceUsage()
{
  ResourceUsage usage;
  const auto pageBytes = static_cast<size_t>(::sysconf(_SC_PAGESIZE));
  std::ifstream file("/proc/self/statm");
  size_t addressSpacePages = 0;
  size_t residentPages = 0;
  if (file >> addressSpacePages >> residentPages) {
    usage.mAddressSpaceBytes = addressSpacePages * pageBytes;
    usage.mResidentBytes = residentPages * pageBytes;
  }
  usage.mPeakResidentBytes = ReadPeakResidentBytes();
  usage.mDescriptors = CountDescriptors();
  return usage;
}

void ConfigureMemory()
{
  ::mallopt(M_ARENA_MAX, kMaxArenas);
  ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
  pthread_attr_t attributes;
  if (::pthread_attr_init(&attributes) != 0) {
    return;
  }
  ::pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  ::pthread_setattr_default_np(&attributes);
  ::pthread_attr_destroy(&attributes);
}

void RefillMemoryReserve()
{
  std::set_new_handler(ReleaseReserve);
  for (std::atomic<void*>& block : gReserve) {
    if (block != nullptr) {
      continue;
    }
    void* memory = std::malloc(kReserveBlockBytes);
    if (memory == nullptr) {
      return;
    }
    void* expected = nullptr;
    if (!block.compare_exchange_strong(expected, memory)) {
      std::free(memory);
    }
  }
}

size_t RaiseDescriptorLimit(size_t aWanted)
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return aWanted;
  }
  if (limit.rlim_cur < aWanted) {
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, aWanted);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < aWanted) {
    LogLimitBelowSettings("descriptors", aWanted, limit.rlim_cur);
  }
  return std::min<size_t>(aWanted, limit.rlim_cur);
}

size_t UsableMemory(size_t aWanted)
{
  size_t usable = aWanted;
  for (const auto& limit : { ControlGroupMemory(), AddressSpaceForMemory() }) {
    usable = std::min(usable, limit.value_or(usable));
  }
  if (usable < aWanted) {
    LogLimitBelowSettings("memory", aWanted, usable);
  }
  return usable;
}

} // namespace agatetide::process
