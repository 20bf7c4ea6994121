#include "agatetide/base/event_log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace agatetide {

namespace {

/// The queue is allocated at the start and takes about 400 bytes a line. When
/// it is full, the oldest lines are dropped.
constexpr size_t kMaxQueuedLines = 4096;

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](char aChar) {
           return aChar <= ' ' || aChar == '"' || aChar == '=' ||
                  aChar == '\\' || aChar == 0x7f;
         });
}

void AppendEscaped(std::string& aText, char aChar)
{
  switch (aChar) {
    case '"':
    case '\\':
      aText += '\\';
      aText += aChar;
      return;
    case '\n':
      aText += "\\n";
      return;
    default:
      aText += (aChar < ' ' && aChar >= 0) ? '?' : aChar;
  }
}

spdlog::level::level_enum SpdlogLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

} // namespace

LogEvent::LogEvent(std::string_view aName, LogLevel aLevel)
  : mLevel(aLevel)
  , mLogged(spdlog::default_logger_raw()->should_log(SpdlogLevel(aLevel)))
{
  if (mLogged) {
    mText.append("event=").append(aName);
  }
}

LogEvent& LogEvent::Field(std::string_view aKey, std::string_view aValue)
{
  if (!mLogged) {
    return *this;
  }
  mText += ' ';
  mText += aKey;
  mText += '=';
  if (!NeedsQuotes(aValue)) {
    mText += aValue;
    return *this;
  }
  mText += '"';
  for (const char character : aValue) {
    AppendEscaped(mText, character);
  }
  mText += '"';
  return *this;
}

LogEvent& LogEvent::Field(std::string_view aKey, const char* aValue)
{
  return Field(aKey, std::string_view(aValue));
}

LogEvent& LogEvent::Field(std::string_view aKey, const std::string& aValue)
{
  return Field(aKey, std::string_view(aValue));
}

LogEvent& LogEvent::Field(std::string_view aKey, int64_t aValue)
{
  return Field(aKey, std::string_view(std::to_string(aValue)));
}

LogEvent& LogEvent::Field(std::string_view aKey, uint64_t aValue)
{
  return Field(aKey, std::string_view(std::to_string(aValue)));
}

LogEvent& LogEvent::Field(std::string_view aKey, int aValue)
{
  return Field(aKey, static_cast<int64_t>(aValue));
}

LogEvent& LogEvent::Field(std::string_view aKey, unsigned aValue)
{
  return Field(aKey, static_cast<uint64_t>(aValue));
}

LogEvent& LogEvent::Field(std::string_view aKey, double aValue)
{
  std::array<char, 32> buffer{};
  const auto result = std::to_chars(buffer.data(),
                                    buffer.data() + buffer.size(),
                                    aValue,
                                    std::chars_format::fixed,
                                    3);
  return Field(
    aKey,
    std::string_view(buffer.data(),
                     static_cast<size_t>(result.ptr - buffer.data())));
}

LogEvent& LogEvent::Field(std::string_view aKey, bool aValue)
{
  return Field(aKey, std::string_view(aValue ? "true" : "false"));
}

void LogEvent::Write()
{
  if (mLogged) {
    spdlog::default_logger_raw()->log(SpdlogLevel(mLevel), "{}", mText);
  }
}

bool LogLimiter::Allow(std::chrono::steady_clock::time_point aNow)
{
  if (mLast != std::chrono::steady_clock::time_point{} &&
      aNow - mLast < mInterval) {
    ++mSuppressed;
    return false;
  }
  mLast = aNow;
  return true;
}

uint64_t LogLimiter::ResetSuppressedCount()
{
  return std::exchange(mSuppressed, 0);
}

void StartEventLog(LogLevel aLevel, const std::string& aPath)
{
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  std::shared_ptr<spdlog::logger> logger;
  if (aPath.empty()) {
    logger =
      spdlog::create_async_nb<spdlog::sinks::stderr_sink_mt>("agatetide");
  } else {
    logger = spdlog::create_async_nb<spdlog::sinks::basic_file_sink_mt>(
      "agatetide", aPath);
  }
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f level=%l %v");
  logger->set_level(SpdlogLevel(aLevel));
  logger->flush_on(spdlog::level::warn);
  spdlog::set_default_logger(logger);
  spdlog::flush_every(std::chrono::seconds(1));
}

void StopEventLog()
{
  spdlog::shutdown();
}

LogLevel LogLevelFromName(std::string_view aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  return aName == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace agatetide
