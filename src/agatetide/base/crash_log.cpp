#include "agatetide/base/crash_log.hpp"

#include <execinfo.h>
#include <link.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
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

/// Address at which the program was loaded; set before the handler.
uintptr_t gLoadAddress = 0;
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
    // There is nobody to tell of an error.
    [[maybe_unused]] const auto written =
      ::write(STDERR_FILENO, mBytes.data(), mLength);
  }

private:
  std::array<char, kMaxLineBytes> mBytes{};
  size_t mLength = 0;
};

void LogAndEnd(int aSignal, siginfo_t* aInfo, void* /*aContext*/)
{
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

/// The program is the first object of the list.
int ReadLoadAddress(dl_phdr_info* aInfo, size_t /*aSize*/, void* /*aData*/)
{
  gLoadAddress = aInfo->dlpi_addr;
  return 1;
}

} // namespace

void InstallCrashLog()
{
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

} // namespace agatetide
