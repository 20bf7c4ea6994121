#pragma once

#include <criterion/criterion.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace agatetide {

/// @brief How a process of a test has ended.
struct EndedProcess
{
  /// What it wrote to standard error.
  std::string mOutput;
  /// 0 if no signal has ended it.
  int mSignal = 0;
  /// Its exit code; -1 if a signal has ended it.
  int mCode = 0;

  bool Says(std::string_view aText) const
  {
    return mOutput.find(aText) != std::string::npos;
  }
};

/// @brief Runs a function in a process of its own, which ends with aCode if the
/// function returns, and returns how it has ended.
inline EndedProcess RunInChild(const std::function<void()>& aFunction,
                               int aCode = 0)
{
  std::array<int, 2> pipe{};
  cr_assert_eq(::pipe(pipe.data()), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(pipe[1], STDERR_FILENO);
    aFunction();
    ::_exit(aCode);
  }
  ::close(pipe[1]);
  EndedProcess ended;
  std::array<char, 512> bytes{};
  for (ssize_t count = 1; count > 0;) {
    count = ::read(pipe[0], bytes.data(), bytes.size());
    ended.mOutput.append(bytes.data(),
                         count > 0 ? static_cast<size_t>(count) : 0);
  }
  ::close(pipe[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  ended.mSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  ended.mCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ended;
}

} // namespace agatetide
