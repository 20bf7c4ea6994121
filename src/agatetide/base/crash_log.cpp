#include "agatetide/base/crash_log.hpp"

#include "agatetide/base/log_output.hpp"

#include <execinfo.h>
#include <link.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

namespace agatetide {

namespace {

/// The address sanitizer reports faults itself, with more details.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitizerReports = true;
#else
constexpr bool kSanitizerReports = false;
#endif
constexpr std::array kFaultSignals{ SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };
constexpr int kMaxFrames = 24;
/// The handler and the unwinder need about 10 KiB.
constexpr size_t kHandlerStackBytes = size_t{ 64 } << 10U;
constexpr size_t kMaxLineBytes = 1024;
constexpr int kHexadecimal = 16;
constexpr size_t kMaxDigits = 20;
/// Time for the log thread to write the lines before the fault.
constexpr timespec kLogTime{ 0, 100'000'000 };
/// If the handler hangs, for example in the unwinder, SIGALRM ends the process.
constexpr unsigned kHandlerTimeoutS = 2;

/// Address at which the program was loaded; set before the handler.
uintptr_t gLoadAddress = 0;
/// Where lines of faults go; set before the handler.
const LogOutput* gOutput = nullptr;
FaultObserver gObserver = nullptr;
alignas(16) std::array<char, kHandlerStackBytes> gHandlerStack;

/// A line of limited length, which is built without allocating.
class LineBuffer
{
public:
  void Append(std::string_view aText)
  {
    for (const char character : aText) {
      if (mLength < mBytes.size() - 1) {
        mBytes[mLength++] = character;
      }
    }
  }

  void AppendNumber(uint64_t aValue, int aBase)
  {
    std::array<char, kMaxDigits> digits{};
    const auto end =
      std::to_chars(digits.data(), digits.data() + kMaxDigits, aValue, aBase);
    Append({ digits.data(), end.ptr });
  }

  /// Ends the line and writes it.
  void Write()
  {
    mBytes[mLength++] = '\n';
    gOutput->WriteInSignalHandler({ mBytes.data(), mLength });
  }

private:
  std::array<char, kMaxLineBytes> mBytes{};
  size_t mLength = 0;
};

void LimitHandlerTime()
{
  std::signal(SIGALRM, SIG_DFL);
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGALRM);
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  ::alarm(kHandlerTimeoutS);
}

void LogAndEnd(int aSignal, siginfo_t* aInfo, void* /*aContext*/)
{
  LimitHandlerTime();
  if (gObserver != nullptr) {
    gObserver(aSignal);
  }
  ::nanosleep(&kLogTime, nullptr);
  LineBuffer line;
  line.Append("level=error event=process_fault signal=");
  line.AppendNumber(static_cast<uint64_t>(aSignal), 10);
  line.Append(" address=0x");
  line.AppendNumber(reinterpret_cast<uintptr_t>(aInfo->si_addr), kHexadecimal);
  line.Append(" stack=");
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  for (int i = 0; i < count; ++i) {
    line.Append(i == 0 ? "0x" : ",0x");
    line.AppendNumber(reinterpret_cast<uintptr_t>(frames[i]) - gLoadAddress,
                      kHexadecimal);
  }
  line.Write();
  // The default action is in force again (SA_RESETHAND); the signal ends the
  // process when this handler returns.
  ::raise(aSignal);
}

std::string_view DescribeCurrentException()
{
  try {
    std::rethrow_exception(std::current_exception());
  } catch (const std::exception& error) {
    // The exception lives on in std::current_exception().
    return error.what();
  } catch (...) {
    return "of an unknown type";
  }
}

/// The abort leaves the call stack in a line of its own.
[[noreturn]] void LogExceptionAndAbort()
{
  LineBuffer line;
  line.Append("level=error event=uncaught_exception what=\"");
  if (std::current_exception() != nullptr) {
    line.Append(DescribeCurrentException());
  }
  line.Append("\"");
  line.Write();
  std::abort();
}

/// The program is the first object of the list.
int ReadLoadAddress(dl_phdr_info* aInfo, size_t /*aSize*/, void* /*aData*/)
{
  gLoadAddress = aInfo->dlpi_addr;
  return 1;
}

} // namespace

void InstallCrashLog()
{
  gOutput = &LogOutput::StandardError();
  std::set_terminate(LogExceptionAndAbort);
  if (kSanitizerReports) {
    return;
  }
  ::dl_iterate_phdr(ReadLoadAddress, nullptr);
  // The first call loads the unwinder, which allocates.
  std::array<void*, 1> frame{};
  ::backtrace(frame.data(), 1);
  stack_t stack{};
  stack.ss_sp = gHandlerStack.data();
  stack.ss_size = gHandlerStack.size();
  ::sigaltstack(&stack, nullptr);
  struct sigaction action = {};
  action.sa_sigaction = LogAndEnd;
  action.sa_flags =
    static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
  for (const int signal : kFaultSignals) {
    ::sigaction(signal, &action, nullptr);
  }
}

void SetFaultObserver(FaultObserver aObserver)
{
  gObserver = aObserver;
}

} // namespace agatetide
