#include "agatetide/process/process_record.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <utility>

namespace agatetide::process {

namespace {

using nlohmann::json;

/// The record fills this part of the file; the signal of a fault follows it.
constexpr size_t kRecordBytes = 1024;
constexpr size_t kMaxErrorBytes = 350;
constexpr size_t kMaxActivityBytes = 200;
constexpr std::string_view kFaultCause = "fault";

/// Descriptor for RecordFault(); -1 without a file.
std::atomic<int> gFaultDescriptor{ -1 };

Error SystemError(ErrorKind aKind, const std::string& aPath)
{
  return { aKind,
           "cannot use " + aPath + ": " +
             std::generic_category().message(errno),
           "set TMPDIR to a folder that this user may write to" };
}

bool IsFileOfThisUser(int aDescriptor)
{
  struct stat status = {};
  return ::fstat(aDescriptor, &status) == 0 && S_ISREG(status.st_mode) &&
         status.st_uid == ::geteuid() && status.st_nlink == 1;
}

bool ContinuesCharacter(char aByte)
{
  return (static_cast<unsigned char>(aByte) & 0xc0U) == 0x80U;
}

/// Removes the last character of UTF-8 text, or up to four bytes of other text.
/// Precondition: the text is not empty.
void RemoveLastCharacter(std::string& aText)
{
  constexpr size_t kMaxCharacterBytes = 4;
  for (size_t i = 1; i < kMaxCharacterBytes && aText.size() > 1 &&
                     ContinuesCharacter(aText.back());
       ++i) {
    aText.pop_back();
  }
  aText.pop_back();
}

/// Escapes all but ASCII, so that the length of a record is known. Bytes that
/// are not UTF-8 are replaced.
std::string Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', true, json::error_handler_t::replace);
}

/// Shortens a text so that it takes at most aMaxBytes when it is escaped.
std::string Shorten(const std::string& aText, size_t aMaxBytes)
{
  constexpr size_t kQuoteBytes = 2;
  std::string text = aText.substr(0, aMaxBytes);
  if (text.size() < aText.size() && ContinuesCharacter(aText[text.size()])) {
    RemoveLastCharacter(text);
  }
  while (Dump(text).size() > aMaxBytes + kQuoteBytes) {
    RemoveLastCharacter(text);
  }
  return text;
}

} // namespace

std::string EncodeProcessRecord(const ProcessRecord& aRecord)
{
  return Dump(
    json{ { "pid", aRecord.mProcessId },
          { "boot", aRecord.mBootId },
          { "phase", aRecord.mPhase },
          { "uptime_s", aRecord.mUptimeS },
          { "resident", aRecord.mUsage.mResidentBytes },
          { "peak", aRecord.mUsage.mPeakResidentBytes },
          { "descriptors", aRecord.mUsage.mDescriptors },
          { "memory_limit", aRecord.mLimits.mMemoryBytes },
          { "descriptor_limit", aRecord.mLimits.mDescriptors },
          { "stalled_s", aRecord.mStalledS },
          { "end", aRecord.mEndCause },
          { "signal", aRecord.mEndSignal },
          { "activity", Shorten(aRecord.mActivity, kMaxActivityBytes) },
          { "error", Shorten(aRecord.mEndError, kMaxErrorBytes) } });
}

Result<ProcessRecord> DecodeProcessRecord(std::string_view aText)
{
  ProcessRecord record;
  try {
    const json value = json::parse(aText);
    record.mProcessId = value.at("pid");
    record.mBootId = value.at("boot");
    record.mPhase = value.at("phase");
    record.mUptimeS = value.at("uptime_s");
    record.mUsage.mResidentBytes = value.at("resident");
    record.mUsage.mPeakResidentBytes = value.at("peak");
    record.mUsage.mDescriptors = value.at("descriptors");
    record.mLimits.mMemoryBytes = value.at("memory_limit");
    record.mLimits.mDescriptors = value.at("descriptor_limit");
    record.mStalledS = value.at("stalled_s");
    record.mActivity = value.at("activity");
    record.mEndCause = value.at("end");
    record.mEndSignal = value.at("signal");
    record.mEndError = value.at("error");
  } catch (const json::exception& error) {
    return Error{ ErrorKind::DataLoss,
                  std::string("the record of the process before is "
                              "malformed: ") +
                    error.what(),
                  "none: the next record replaces it" };
  }
  return record;
}

std::string ProcessRecordFile::PathFor(std::string_view aRole,
                                       const std::string& aSettingsPath)
{
  std::error_code error;
  const std::string identity =
    std::string(aRole) + '\n' +
    std::filesystem::absolute(aSettingsPath, error).string();
  const char* folder = std::getenv("TMPDIR");
  return std::string(folder != nullptr ? folder : "/tmp") + "/agatetide-" +
         std::to_string(::geteuid()) + "-" +
         std::to_string(XXH64(identity.data(), identity.size(), 0)) + ".life";
}

Result<ProcessRecordFile> ProcessRecordFile::Open(const std::string& aPath)
{
  constexpr mode_t kOwnerOnly = 0600;
  const int descriptor = ::open(
    aPath.c_str(), O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    return SystemError(ErrorKind::Internal, aPath);
  }
  ProcessRecordFile file(descriptor);
  if (!IsFileOfThisUser(descriptor)) {
    errno = EPERM;
    return SystemError(ErrorKind::PermissionDenied, aPath);
  }
  // Other errors mean that the file system has no locks.
  if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK) {
    return Error{ ErrorKind::Unavailable,
                  "another process runs with the same role and settings",
                  "stop it, or use other settings" };
  }
  file.ReadPrevious();
  [[maybe_unused]] const int truncated = ::ftruncate(descriptor, 0);
  gFaultDescriptor = descriptor;
  return file;
}

ProcessRecordFile::ProcessRecordFile(ProcessRecordFile&& aOther) noexcept
  : mDescriptor(std::exchange(aOther.mDescriptor, -1))
  , mPrevious(std::move(aOther.mPrevious))
{
}

ProcessRecordFile::~ProcessRecordFile()
{
  if (mDescriptor < 0) {
    return;
  }
  int own = mDescriptor;
  gFaultDescriptor.compare_exchange_strong(own, -1);
  ::close(mDescriptor);
}

void ProcessRecordFile::ReadPrevious()
{
  std::array<char, kRecordBytes + 8> bytes{};
  const ssize_t count = ::pread(mDescriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return;
  }
  const size_t size = static_cast<size_t>(count);
  const std::string_view text(bytes.data(), std::min(size, kRecordBytes));
  auto record = DecodeProcessRecord(text.substr(0, text.find('\n')));
  if (record.has_error()) {
    return;
  }
  if (size > kRecordBytes) {
    record->mEndCause = kFaultCause;
    record->mEndSignal = std::atoi(bytes.data() + kRecordBytes);
  }
  mPrevious = std::move(*record);
}

void ProcessRecordFile::Write(const ProcessRecord& aRecord)
{
  std::string text = EncodeProcessRecord(aRecord) + '\n';
  text.resize(kRecordBytes, ' ');
  [[maybe_unused]] const ssize_t written =
    ::pwrite(mDescriptor, text.data(), text.size(), 0);
}

void ProcessRecordFile::RecordFault(int aSignal)
{
  const int descriptor = gFaultDescriptor;
  if (descriptor < 0) {
    return;
  }
  const std::array<char, 3> text{ static_cast<char>('0' + aSignal / 10),
                                  static_cast<char>('0' + aSignal % 10),
                                  '\n' };
  [[maybe_unused]] const ssize_t written = ::pwrite(
    descriptor, text.data(), text.size(), static_cast<off_t>(kRecordBytes));
}

} // namespace agatetide::process
