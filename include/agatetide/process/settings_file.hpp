#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace agatetide::process {

struct SettingsFileOptions
{
  /// A file that was changed more recently may still be being written.
  Milliseconds mSettleTime{ 2000 };
  Milliseconds mPollInterval{ 50 };
  /// Whether a file that does not exist is being replaced, and is waited for
  /// during the settle time.
  bool mWaitForFile = false;
  /// Whether the process was asked to stop, so that waiting ends.
  std::function<bool()> mIsStopping = [] { return false; };
};

/// @brief Reads a settings file that may be replaced or written at that moment:
/// while its text is not complete, it is read again until it has not been
/// changed for the settle time. Returns the last text, complete or not. Blocks.
/// Errors: NotFound if the file cannot be read.
Result<std::string> ReadSettingsFile(
  const std::string& aPath,
  const std::function<bool(std::string_view)>& aIsComplete,
  const SettingsFileOptions& aOptions = {});

} // namespace agatetide::process
