#include "agatetide/process/settings_file.hpp"

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <thread>

namespace agatetide::process {

namespace {

using FileTime = std::filesystem::file_time_type;

struct FileContent
{
  std::string mText;
  /// When the file was last changed.
  FileTime mChangedAt;
};

std::optional<FileContent> ReadOnce(const std::string& aPath)
{
  std::error_code error;
  const FileTime changedAt = std::filesystem::last_write_time(aPath, error);
  std::ifstream file(aPath);
  if (!file || !std::filesystem::is_regular_file(aPath, error)) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return FileContent{ text.str(), changedAt };
}

Error Unreadable(const std::string& aPath)
{
  return { ErrorKind::NotFound,
           "the settings file \"" + aPath + "\" cannot be read",
           "name an existing file that this user may read" };
}

} // namespace

Result<std::string> ReadSettingsFile(
  const std::string& aPath,
  const std::function<bool(std::string_view)>& aIsComplete,
  const SettingsFileOptions& aOptions)
{
  // The wall clock may jump, so the time in which the file was seen unchanged
  // counts as well.
  TimePoint unchangedSince = std::chrono::steady_clock::now();
  std::optional<FileTime> changedAt;
  for (;;) {
    const std::optional<FileContent> content = ReadOnce(aPath);
    if (content && aIsComplete(content->mText)) {
      return content->mText;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (content && changedAt != content->mChangedAt) {
      changedAt = content->mChangedAt;
      unchangedSince = now;
    }
    const bool settled =
      now - unchangedSince >= aOptions.mSettleTime ||
      (content &&
       FileTime::clock::now() - content->mChangedAt >= aOptions.mSettleTime);
    const bool missing = !content && !aOptions.mWaitForFile;
    if (settled || missing || aOptions.mIsStopping()) {
      return content ? Result<std::string>(content->mText)
                     : Result<std::string>(Unreadable(aPath));
    }
    std::this_thread::sleep_for(aOptions.mPollInterval);
  }
}

} // namespace agatetide::process
