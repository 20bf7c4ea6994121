#include "agatetide/process/settings_file.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace agatetide;
using namespace agatetide::process;

namespace {

constexpr Milliseconds kSettleTime{ 300 };

bool IsComplete(std::string_view aText)
{
  return aText.ends_with('.');
}

SettingsFileOptions MakeOptions()
{
  SettingsFileOptions options;
  options.mSettleTime = kSettleTime;
  options.mPollInterval = Milliseconds(5);
  return options;
}

std::string PathOfTest(const std::string& aName)
{
  return "/tmp/agatetide-settings-" + aName + "-" + std::to_string(::getpid());
}

void WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

} // namespace

// Guards against a start that fails while the file is being written.
Test(settings_file, waits_for_a_file_that_is_being_written)
{
  const std::string path = PathOfTest("written");
  WriteFile(path, "a");
  std::thread writer([&] {
    std::this_thread::sleep_for(kSettleTime / 3);
    WriteFile(path, "ab.");
  });
  const auto text = ReadSettingsFile(path, IsComplete, MakeOptions());
  writer.join();
  std::filesystem::remove(path);
  cr_assert(text.has_value());
  cr_expect_eq(*text, "ab.");
}

// Guards against a wait for a malformed file that nobody writes.
Test(settings_file, returns_an_old_malformed_file_at_once)
{
  const std::string path = PathOfTest("old");
  WriteFile(path, "a");
  std::filesystem::last_write_time(
    path,
    std::filesystem::file_time_type::clock::now() - std::chrono::hours(1));
  const TimePoint started = std::chrono::steady_clock::now();
  const auto text = ReadSettingsFile(path, IsComplete, MakeOptions());
  const Duration took = std::chrono::steady_clock::now() - started;
  std::filesystem::remove(path);
  cr_assert(text.has_value());
  cr_expect_eq(*text, "a");
  cr_expect(took < kSettleTime / 2, "%.2f s", Seconds(took));
}

// Guards against a wait without an end for a file of the future, as after a
// jump of the clock.
Test(settings_file, does_not_wait_for_ever_for_a_file_of_the_future)
{
  const std::string path = PathOfTest("future");
  WriteFile(path, "a");
  std::filesystem::last_write_time(
    path,
    std::filesystem::file_time_type::clock::now() + std::chrono::hours(1));
  const auto text = ReadSettingsFile(path, IsComplete, MakeOptions());
  std::filesystem::remove(path);
  cr_expect(text.has_value());
}

// Guards against a missing file that is waited for although nobody replaces it.
Test(settings_file, missing_files_are_waited_for_only_on_request)
{
  const std::string path = PathOfTest("missing");
  SettingsFileOptions options = MakeOptions();
  const TimePoint started = std::chrono::steady_clock::now();
  cr_expect(ReadSettingsFile(path, IsComplete, options).has_error());
  cr_expect(std::chrono::steady_clock::now() - started < kSettleTime / 2);
  options.mWaitForFile = true;
  cr_expect(ReadSettingsFile(path, IsComplete, options).has_error());
  cr_expect(std::chrono::steady_clock::now() - started >= kSettleTime);
}

// Guards against a wait that a request to stop does not end.
Test(settings_file, request_to_stop_ends_the_wait)
{
  const std::string path = PathOfTest("stopping");
  WriteFile(path, "a");
  SettingsFileOptions options = MakeOptions();
  options.mIsStopping = [] { return true; };
  const TimePoint started = std::chrono::steady_clock::now();
  cr_expect(ReadSettingsFile(path, IsComplete, options).has_value());
  std::filesystem::remove(path);
  cr_expect(std::chrono::steady_clock::now() - started < kSettleTime / 2);
}
