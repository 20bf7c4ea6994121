#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/ctl/session.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace agatetide::ctl {

/// @brief Exit codes of the program; listed by --help.
enum ExitCode
{
  Success = 0,
  CallFailed = 1,
  Usage = 2,
  NotPermitted = 3,
  ObjectConflict = 4,
  ServiceUnavailable = 5,
  OutcomeUnknown = 6,
  SchemaDiffers = 7,
};

/// @brief An option of one subcommand. An option without a value name is a
/// flag.
struct OptionSpec
{
  std::string mName;
  std::string mValueName;
  std::string mHelp;
};

/// @brief Parsed arguments of a subcommand.
struct Arguments
{
  std::vector<std::string> mPositional;
  std::map<std::string, std::string> mOptions;
  bool mJson = false;

  bool Has(const std::string& aName) const { return mOptions.contains(aName); }

  /// @brief The option's value, or aDefault if it is not given.
  std::string Value(const std::string& aName,
                    const std::string& aDefault = "") const
  {
    const auto found = mOptions.find(aName);
    return found == mOptions.end() ? aDefault : found->second;
  }

  /// @brief The positional argument, or an empty string if it is not given.
  std::string Positional(size_t aIndex) const
  {
    return aIndex < mPositional.size() ? mPositional[aIndex] : std::string();
  }
};

/// @brief One subcommand. mRun prints to standard output and returns the exit
/// code, or an error that the program prints.
struct Command
{
  std::string mName;
  std::string mSummary;
  /// Argument forms for the help text, without the name of the subcommand.
  std::vector<std::string> mForms;
  /// First arguments, for shell completion.
  std::vector<std::string> mVerbs;
  std::vector<OptionSpec> mOptions;
  bool mNeedsHost = true;
  std::function<Result<int>(const Session&, const Arguments&)> mRun;
};

/// @brief Returns the subcommands of one topic.
std::vector<Command> ObjectCommands();
std::vector<Command> KeyCommands();
std::vector<Command> SchemaCommands();
std::vector<Command> DrainCommands();
std::vector<Command> StatusCommands();
std::vector<Command> CallCommands();

/// @brief Error for invalid arguments; the program exits with Usage.
Error UsageError(std::string aMessage);

/// @brief Returns the exit code for a failed call.
int ExitCodeOf(const Error& aError);

/// @brief Parses a decimal number. Errors: those of UsageError().
Result<uint64_t> ParseNumber(const std::string& aName,
                             const std::string& aText);

/// @brief Reads a whole file; "-" means standard input. Errors: NotFound.
Result<std::string> ReadInput(const std::string& aPath);

/// @brief Returns a bash script that completes subcommands, verbs and options.
std::string BashCompletion(std::span<const Command> aCommands);

} // namespace agatetide::ctl
