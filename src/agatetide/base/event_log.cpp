#include "agatetide/base/event_log.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/log_output.hpp"

#include <boost/locale/utf.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <mutex>
#include <system_error>

namespace agatetide {

namespace {

/// The queue is allocated at the start and takes about 400 bytes a line. When
/// it is full, the oldest lines are dropped.
constexpr size_t kMaxQueuedLines = 4096;
/// What the end of the process waits for the reader of the log.
constexpr Milliseconds kStopPatience{ 200 };

using Utf8 = boost::locale::utf::utf_traits<char>;

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](char aChar) {
           return aChar <= ' ' || aChar == '"' || aChar == '=' ||
                  aChar == '\\' || aChar == 0x7f;
         });
}

/// Whether a character would end or spoil a line: it controls the output, some
/// readers of text take it for the end of a line, or it is not valid UTF-8.
bool NeedsHex(boost::locale::utf::code_point aPoint)
{
  constexpr boost::locale::utf::code_point kFirstPrintable = 0x20;
  constexpr boost::locale::utf::code_point kDelete = 0x7f;
  constexpr boost::locale::utf::code_point kLastControl = 0x9f;
  constexpr boost::locale::utf::code_point kLineSeparator = 0x2028;
  constexpr boost::locale::utf::code_point kParagraphSeparator = 0x2029;
  return aPoint < kFirstPrintable ||
         (aPoint >= kDelete && aPoint <= kLastControl) ||
         aPoint == kLineSeparator || aPoint == kParagraphSeparator ||
         !boost::locale::utf::is_valid_codepoint(aPoint);
}

/// Appends a value so that it is one line and can be read back: `\"`, `\\`,
/// `\n` and, for other bytes that are not printed as they are, `\xNN`.
void AppendEscaped(std::string& aText, std::string_view aValue)
{
  const char* position = aValue.data();
  const char* const end = position + aValue.size();
  while (position != end) {
    const char* next = position;
    const auto point = Utf8::decode(next, end);
    if (!boost::locale::utf::is_valid_codepoint(point)) {
      next = position + 1; // Bytes that begin no character, one by one.
    }
    const std::string_view character(position, next);
    position = next;
    if (point == '"' || point == '\\') {
      aText += '\\';
      aText += character;
    } else if (point == '\n') {
      aText += "\\n";
    } else if (NeedsHex(point)) {
      for (const char byte : character) {
        aText += "\\x";
        aText += HexEncode({ &byte, 1 });
      }
    } else {
      aText += character;
    }
  }
}

/// Writes the lines of the logger to a LogOutput.
class OutputSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit OutputSink(LogOutput& aOutput)
    : mOutput(aOutput)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    mOutput.Write({ line.data(), line.size() });
  }

  void flush_() override {}

private:
  LogOutput& mOutput;
};

/// Lines that the logger could not write to its file.
std::atomic<uint64_t> gFailedLines{ 0 };

/// Where lines go that are not written to a file; set by StartEventLog().
LogOutput* gOutput = nullptr;

spdlog::sink_ptr MakeStandardErrorSink()
{
  return std::make_shared<OutputSink>(*gOutput);
}

/// For pipes and devices, whose readers may not make room.
spdlog::sink_ptr MakePipeSink(const std::string& aPath, std::string& aFailure)
{
  const int descriptor =
    ::open(aPath.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (descriptor < 0) {
    aFailure = std::generic_category().message(errno);
    return MakeStandardErrorSink();
  }
  // Never destroyed, as the output of standard error.
  gOutput = new LogOutput(descriptor);
  return std::make_shared<OutputSink>(*gOutput);
}

/// Returns the reason in aFailure if the file cannot be used.
spdlog::sink_ptr MakeSink(const std::string& aPath, std::string& aFailure)
{
  if (aPath.empty()) {
    return MakeStandardErrorSink();
  }
  std::error_code error;
  if (std::filesystem::exists(aPath, error) &&
      !std::filesystem::is_regular_file(aPath, error)) {
    return MakePipeSink(aPath, aFailure);
  }
  try {
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(aPath);
  } catch (const spdlog::spdlog_ex& error) {
    aFailure = error.what();
    return MakeStandardErrorSink();
  }
}

/// Without a thread, lines are written by those who log them, and are dropped
/// at once while the reader makes no room.
std::shared_ptr<spdlog::logger> MakeLogger(const spdlog::sink_ptr& aSink)
{
  constexpr const char* kName = "agatetide";
  try {
    spdlog::init_thread_pool(kMaxQueuedLines, 1);
    return std::make_shared<spdlog::async_logger>(
      kName,
      aSink,
      spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  } catch (const std::system_error&) {
    gOutput->SetPatience(Milliseconds(0));
    return std::make_shared<spdlog::logger>(kName, aSink);
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
{
  // There is no logger after StopEventLog().
  const spdlog::logger* logger = spdlog::default_logger_raw();
  mLogged = logger != nullptr && logger->should_log(SpdlogLevel(aLevel));
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
  AppendEscaped(mText, aValue);
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
  gOutput = &LogOutput::StandardError();
  std::string failure;
  const auto logger = MakeLogger(MakeSink(aPath, failure));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f level=%l %v");
  logger->set_level(SpdlogLevel(aLevel));
  logger->flush_on(spdlog::level::warn);
  // By default the logger writes its errors to standard error, whose reader may
  // be gone.
  logger->set_error_handler([](const std::string&) { ++gFailedLines; });
  spdlog::set_default_logger(logger);
  if (!failure.empty()) {
    LogEvent("log_file_unusable", LogLevel::Error)
      .Field("path", aPath)
      .Field("error", failure)
      .Write();
  }
}

void FlushEventLog()
{
  if (spdlog::logger* logger = spdlog::default_logger_raw()) {
    logger->flush();
  }
}

uint64_t DroppedLogLines()
{
  const auto pool = spdlog::thread_pool();
  const uint64_t overrun = pool ? pool->overrun_counter() : 0;
  const uint64_t dropped = gOutput != nullptr ? gOutput->DroppedCount() : 0;
  return overrun + gFailedLines + dropped;
}

void StopEventLog()
{
  if (gOutput != nullptr) {
    gOutput->SetPatience(kStopPatience);
  }
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
