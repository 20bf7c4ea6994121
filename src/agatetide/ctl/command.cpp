#include "agatetide/ctl/command.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace agatetide::ctl {

namespace {

constexpr const char* kUsageRemedy = "see agatetidectl COMMAND --help";

} // namespace

Error UsageError(std::string aMessage)
{
  return { ErrorKind::InvalidArgument, std::move(aMessage), kUsageRemedy };
}

int ExitCodeOf(const Error& aError)
{
  switch (aError.mKind) {
    case ErrorKind::InvalidArgument:
      return aError.mRemedy == kUsageRemedy ? Usage : CallFailed;
    case ErrorKind::Unauthenticated:
    case ErrorKind::PermissionDenied:
      return NotPermitted;
    case ErrorKind::Conflict:
      return ObjectConflict;
    case ErrorKind::NotConfirmed:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::DataLoss:
      return OutcomeUnknown;
    case ErrorKind::Unavailable:
    case ErrorKind::ResourceExhausted:
    case ErrorKind::DeadlineExceeded:
      return aError.mExecution == Execution::NotRun ? ServiceUnavailable
                                                    : OutcomeUnknown;
    default:
      return CallFailed;
  }
}

Result<uint64_t> ParseNumber(const std::string& aName, const std::string& aText)
{
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return UsageError(aName + ": \"" + aText + "\" is not a whole number");
  }
  return value;
}

Result<std::string> ReadInput(const std::string& aPath)
{
  std::ostringstream text;
  if (aPath == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(aPath);
  if (!file) {
    return Error{ ErrorKind::NotFound,
                  "cannot read " + aPath,
                  "pass an existing file" };
  }
  text << file.rdbuf();
  return text.str();
}

std::string BashCompletion(std::span<const Command> aCommands)
{
  std::string names;
  std::string cases;
  for (const Command& command : aCommands) {
    names += command.mName + " ";
    std::string words;
    for (const std::string& verb : command.mVerbs) {
      words += verb + " ";
    }
    for (const OptionSpec& option : command.mOptions) {
      words += "--" + option.mName + " ";
    }
    cases += "    " + command.mName + ") words=\"" + words + "$common\" ;;\n";
  }
  return "_agatetidectl() {\n"
         "  local common=\"--host --key-file --timeout-ms --json --help\"\n"
         "  local words\n"
         "  case ${COMP_WORDS[1]} in\n" +
         cases + "    *) words=\"" + names +
         "--help --version\" ;;\n"
         "  esac\n"
         "  [ \"$COMP_CWORD\" -eq 1 ] && words=\"" +
         names +
         "--help --version\"\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "complete -o default -F _agatetidectl agatetidectl\n";
}

} // namespace agatetide::ctl
