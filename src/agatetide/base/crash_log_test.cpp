#include "agatetide/base/crash_log.hpp"

#include "agatetide/base/test_child.hpp"

#include <criterion/criterion.h>

#include <sys/mman.h>

#include <climits>
#include <csignal>
#include <functional>
#include <string>

using namespace agatetide;

namespace {

/// Runs a function in a process of its own that logs its faults.
EndedProcess RunWithCrashLog(const std::function<void()>& aFunction)
{
  return RunInChild([&] {
    InstallCrashLog();
    aFunction();
  });
}

int gSink = 0;

/// Uses up the stack if the depth allows it.
[[gnu::noinline]] int Recurse(int aDepth)
{
  volatile char bytes[4096];
  bytes[0] = static_cast<char>(aDepth);
  return aDepth == 0 ? 0 : Recurse(aDepth - 1) + bytes[0];
}

} // namespace

// Guards against a daemon that ends by a fault without a line in its log.
Test(crash_log, a_fault_leaves_a_line_and_ends_the_process)
{
  const EndedProcess ended = RunWithCrashLog([] {
    void* page =
      ::mmap(nullptr, 1, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    *static_cast<volatile char*>(page) = 1;
  });
  cr_expect_eq(ended.mSignal, SIGSEGV);
  cr_expect(ended.mOutput.starts_with(
    "level=error event=process_fault signal=11 address=0x"));
  cr_expect_neq(ended.mOutput.find(" stack=0x"), std::string::npos);
  cr_expect(ended.mOutput.ends_with("\n"));
}

// Guards against a handler that needs the stack that has overflowed.
Test(crash_log, a_stack_overflow_leaves_a_line)
{
  const EndedProcess ended = RunWithCrashLog([] { gSink = Recurse(INT_MAX); });
  cr_expect_eq(ended.mSignal, SIGSEGV);
  cr_expect(
    ended.mOutput.starts_with("level=error event=process_fault signal=11"));
}

// Guards against a failed check of the C library that ends without a line.
Test(crash_log, an_abort_leaves_a_line)
{
  const EndedProcess ended = RunWithCrashLog([] { ::abort(); });
  cr_expect_eq(ended.mSignal, SIGABRT);
  cr_expect(
    ended.mOutput.starts_with("level=error event=process_fault signal=6"));
}
