#include "agatetide/base/log_output.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace agatetide {

namespace {

/// How often a waiting Write() looks whether its patience was changed.
constexpr Milliseconds kPollInterval{ 50 };
/// The kernel accepts this much at once when poll() reports room in a pipe.
constexpr size_t kMaxSharedWriteBytes = 4096;

/// Returns -1 if the file cannot be opened again.
int OpenAgain(int aDescriptor)
{
  const std::string path = "/proc/self/fd/" + std::to_string(aDescriptor);
  return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

bool IsWritable(int aDescriptor, Milliseconds aTimeout)
{
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  // Errors count as writable: the write tells which one it is.
  return ::poll(&entry, 1, static_cast<int>(aTimeout.count())) != 0;
}

} // namespace

LogOutput::LogOutput(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  struct stat status = {};
  if (::fstat(aDescriptor, &status) != 0 || S_ISREG(status.st_mode)) {
    return;
  }
  if (S_ISSOCK(status.st_mode)) {
    mKind = Kind::Socket;
    return;
  }
  const int own = OpenAgain(aDescriptor);
  mKind = own >= 0 ? Kind::Reopened : Kind::Shared;
  mDescriptor = own >= 0 ? own : aDescriptor;
}

LogOutput::~LogOutput()
{
  if (mKind == Kind::Reopened) {
    ::close(mDescriptor);
  }
}

LogOutput& LogOutput::StandardError()
{
  // Never destroyed, since the process may log until its end.
  static auto* output = new LogOutput(STDERR_FILENO);
  return *output;
}

void LogOutput::Write(std::string_view aLine)
{
  if (!WriteRest() || !WriteDroppedCount()) {
    ++mDropped;
    return;
  }
  std::string_view left = aLine;
  if (WriteAll(left)) {
    return;
  }
  if (left.size() < aLine.size()) {
    mRest = left;
  } else {
    ++mDropped;
  }
}

void LogOutput::WriteInSignalHandler(std::string_view aText) const
{
  // There is nobody to tell of an error.
  [[maybe_unused]] const ssize_t written = WriteSome(aText);
}

ssize_t LogOutput::WriteSome(std::string_view aText) const
{
  switch (mKind) {
    case Kind::Socket:
      return ::send(
        mDescriptor, aText.data(), aText.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    case Kind::Shared:
      if (!IsWritable(mDescriptor, Milliseconds(0))) {
        errno = EAGAIN;
        return -1;
      }
      return ::write(mDescriptor,
                     aText.data(),
                     std::min(aText.size(), kMaxSharedWriteBytes));
    case Kind::File:
    case Kind::Reopened:
      break;
  }
  return ::write(mDescriptor, aText.data(), aText.size());
}

bool LogOutput::WriteAll(std::string_view& aText)
{
  const TimePoint started = std::chrono::steady_clock::now();
  while (!aText.empty()) {
    const ssize_t count = WriteSome(aText);
    if (count > 0) {
      aText.remove_prefix(static_cast<size_t>(count));
      mStalled = false;
      continue;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    const bool full = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!full || mStalled || !WaitUntilWritable(started)) {
      mStalled = true;
      return false;
    }
  }
  return true;
}

bool LogOutput::WaitUntilWritable(TimePoint aStarted) const
{
  while (std::chrono::steady_clock::now() < aStarted + mPatience.load()) {
    if (IsWritable(mDescriptor, kPollInterval)) {
      return true;
    }
  }
  return false;
}

bool LogOutput::WriteRest()
{
  std::string_view left = mRest;
  const bool written = WriteAll(left);
  mRest.erase(0, mRest.size() - left.size());
  return written;
}

bool LogOutput::WriteDroppedCount()
{
  const uint64_t dropped = mDropped - mReportedDropped;
  if (dropped == 0) {
    return true;
  }
  const std::string line =
    "level=warning event=log_lines_dropped count=" + std::to_string(dropped) +
    "\n";
  std::string_view left = line;
  const bool written = WriteAll(left);
  if (left.size() < line.size()) {
    mRest = left;
    mReportedDropped += dropped;
  }
  return written;
}

} // namespace agatetide
