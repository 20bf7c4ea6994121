#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace agatetide {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// @brief Builds and writes one log line of key=value pairs.
///
/// Write() queues the line for the log thread. Values that contain spaces,
/// quotes, characters other than ASCII or control characters are quoted. In
/// quotes, `\"`, `\\` and `\n` stand for a quote, a backslash and a line feed,
/// and `\xNN` for a byte of another control character, of a line separator or
/// of text that is not UTF-8, so that a reader gets back each value. Not
/// thread-safe: one thread builds a line.
class LogEvent
{
public:
  explicit LogEvent(std::string_view aName, LogLevel aLevel = LogLevel::Info);

  LogEvent& Field(std::string_view aKey, std::string_view aValue);
  LogEvent& Field(std::string_view aKey, const char* aValue);
  LogEvent& Field(std::string_view aKey, const std::string& aValue);
  LogEvent& Field(std::string_view aKey, int64_t aValue);
  LogEvent& Field(std::string_view aKey, uint64_t aValue);
  LogEvent& Field(std::string_view aKey, int aValue);
  LogEvent& Field(std::string_view aKey, unsigned aValue);
  LogEvent& Field(std::string_view aKey, double aValue);
  LogEvent& Field(std::string_view aKey, bool aValue);

  /// @brief Queues the line. When the queue is full, the oldest line is
  /// dropped.
  void Write();

  /// @brief The line so far; empty when its level is not logged.
  std::string_view Text() const { return mText; }

private:
  LogLevel mLevel;
  /// False when the logger does not log this level; Field() then does nothing.
  bool mLogged = false;
  std::string mText;
};

/// @brief Allows one log line in each interval and counts the suppressed ones.
/// Not thread-safe; each component that logs owns one.
class LogLimiter
{
public:
  explicit LogLimiter(
    std::chrono::milliseconds aInterval = std::chrono::seconds(1))
    : mInterval(aInterval)
  {
  }

  /// @brief Whether the caller may log now.
  bool Allow(std::chrono::steady_clock::time_point aNow);

  /// @brief Returns the number of lines suppressed since the last call, and
  /// resets it.
  uint64_t ResetSuppressedCount();

private:
  std::chrono::milliseconds mInterval;
  std::chrono::steady_clock::time_point mLast{};
  uint64_t mSuppressed = 0;
};

/// @brief Starts the log thread. An empty path logs to standard error, and so
/// does one that cannot be opened. Without room for a thread, the threads that
/// log write their lines themselves.
/// Precondition: called once, before the first LogEvent is written.
void StartEventLog(LogLevel aLevel, const std::string& aPath);

/// @brief Passes buffered lines of a log file on to the system. Thread-safe.
void FlushEventLog();

/// @brief Lines that were dropped since the start, because they came faster
/// than they could be written or because they could not be written.
/// Thread-safe.
uint64_t DroppedLogLines();

/// @brief Writes the queued lines and stops the log thread. Lines for which the
/// reader of the log makes no room in a fraction of a second are dropped; later
/// ones are ignored. Precondition: no other thread logs.
void StopEventLog();

/// @brief Parses "debug", "info", "warning" or "error". Returns Info for
/// other names.
LogLevel LogLevelFromName(std::string_view aName);

} // namespace agatetide
