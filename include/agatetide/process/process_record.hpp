#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/process/resources.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace agatetide::process {

/// @brief What a process leaves for its next start: its state when it was last
/// written, and its end if it could tell that.
struct ProcessRecord
{
  int mProcessId = 0;
  /// Identifies the start of the host; empty if it is unknown.
  std::string mBootId;
  /// "starting", "serving" or "stopping".
  std::string mPhase;
  double mUptimeS = 0;
  ResourceUsage mUsage;
  ResourceLimits mLimits;
  /// How long an event loop has not responded.
  double mStalledS = 0;
  /// What the event loops were doing.
  std::string mActivity;
  /// Name of the EndCause; empty while the process runs.
  std::string mEndCause;
  int mEndSignal = 0;
  std::string mEndError;
};

/// @brief Formats a record as JSON. The texts of error and activity are
/// shortened, so that the result always fits into a file.
std::string EncodeProcessRecord(const ProcessRecord& aRecord);

/// @brief Reads a record that EncodeProcessRecord() made. Errors: DataLoss.
Result<ProcessRecord> DecodeProcessRecord(std::string_view aText);

/// @brief The file of a record, in a folder for temporary files. It is locked
/// while its process runs. Not thread-safe, except RecordFault().
class ProcessRecordFile
{
public:
  /// @brief The path for a process with this role and settings file, below
  /// TMPDIR or /tmp.
  static std::string PathFor(std::string_view aRole,
                             const std::string& aSettingsPath);

  /// @brief Opens the file and reads the record of the process before.
  /// Errors: Unavailable if another process has it; PermissionDenied if it is
  /// not a file of this user; Internal if the system refuses it.
  static Result<ProcessRecordFile> Open(const std::string& aPath);

  ProcessRecordFile(ProcessRecordFile&& aOther) noexcept;
  ProcessRecordFile& operator=(ProcessRecordFile&& aOther) = delete;
  ~ProcessRecordFile();

  /// @brief The record of the process before, if there is one.
  const std::optional<ProcessRecord>& Previous() const { return mPrevious; }

  /// @brief Replaces the record. A failure is ignored: the record only helps to
  /// explain an end.
  void Write(const ProcessRecord& aRecord);

  /// @brief Notes that a fault ends the process. May be called by a signal
  /// handler. Without an open file it does nothing.
  static void RecordFault(int aSignal);

private:
  explicit ProcessRecordFile(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  void ReadPrevious();

  int mDescriptor;
  std::optional<ProcessRecord> mPrevious;
};

} // namespace agatetide::process
