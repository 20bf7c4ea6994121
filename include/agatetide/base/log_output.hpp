#pragma once

#include "agatetide/base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace agatetide {

/// @brief A descriptor that takes log lines without ending or holding up the
/// process, whatever becomes of the reader.
///
/// A pipe or terminal is opened once more, so that writing without waiting
/// does not change the mode of the descriptor that other processes share.
/// Lines that cannot be written in time are dropped and counted; the first
/// line after them is preceded by one with their number.
class LogOutput
{
public:
  /// @brief Precondition: the descriptor stays open as long as the object.
  explicit LogOutput(int aDescriptor);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /// @brief The output for standard error, opened by the first call and never
  /// closed. Thread-safe.
  static LogOutput& StandardError();

  /// @brief Writes a line, or drops it if the reader makes no room within the
  /// patience. While the reader makes none, further lines are dropped at once.
  /// Not thread-safe.
  void Write(std::string_view aLine);

  /// @brief Sets how long Write() waits for a reader. Thread-safe.
  void SetPatience(Milliseconds aPatience) { mPatience = aPatience; }

  /// @brief Lines that were dropped since the start. Thread-safe.
  uint64_t DroppedCount() const { return mDropped; }

  /// @brief Writes what fits now, without allocating, counting or changing the
  /// object. May be called by a signal handler, at any time.
  void WriteInSignalHandler(std::string_view aText) const;

private:
  enum class Kind
  {
    /// A file, which has no reader to wait for.
    File,
    Socket,
    /// A pipe or terminal of which the object has an own, non-blocking
    /// descriptor.
    Reopened,
    /// A pipe or terminal that could not be opened again.
    Shared,
  };

  /// Writes a part; returns its length, or -1 with errno.
  ssize_t WriteSome(std::string_view aText) const;
  /// Removes what was written from aText. Returns false if some remains.
  bool WriteAll(std::string_view& aText);
  /// Waits until the patience has passed since aStarted.
  bool WaitUntilWritable(TimePoint aStarted) const;
  /// Writes the end of an earlier line. Returns false if some remains.
  bool WriteRest();
  /// Tells how many lines were dropped, if any. Returns false if that does not
  /// fit.
  bool WriteDroppedCount();

  int mDescriptor;
  Kind mKind = Kind::File;
  std::atomic<Milliseconds> mPatience{ Milliseconds(1000) };
  std::atomic<uint64_t> mDropped{ 0 };
  uint64_t mReportedDropped = 0;
  /// Whether the last line was dropped.
  bool mStalled = false;
  /// The end of a line that was written in part.
  std::string mRest;
};

} // namespace agatetide
