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
/// The line is queued to the log thread when Write() is called. Values that
/// contain spaces, quotes or control characters are quoted and escaped.
/// Not thread-safe; each line is built by one thread.
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
  /// False when the logger leaves this level out; fields are then skipped.
  bool mLogged;
  std::string mText;
};

/// @brief Lets one line through per interval and counts the rest.
/// Not thread-safe; owned by the duty that logs.
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

  /// @brief Lines suppressed since the last allowed one; resets the count.
  uint64_t ResetSuppressedCount();

private:
  std::chrono::milliseconds mInterval;
  std::chrono::steady_clock::time_point mLast{};
  uint64_t mSuppressed = 0;
};

/// @brief Starts the log thread. An empty path logs to standard error.
/// Precondition: called once, before the first LogEvent is written.
void StartEventLog(LogLevel aLevel, const std::string& aPath);

/// @brief Writes out queued lines and stops the log thread.
void StopEventLog();

/// @brief Parses "debug", "info", "warning" or "error"; others give Info.
LogLevel LogLevelFromName(std::string_view aName);

} // namespace agatetide
