#include "agatetide/ctl/command.hpp"

// By default cxxopts splits arguments at commas, but arguments may contain
// them.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace agatetide;
using namespace agatetide::ctl;

namespace {

constexpr const char* kHelpFooter = R"(
Environment: AGATETIDE_KEY holds the key, AGATETIDE_HOST the default of --host.
Exit codes: 0 done, 1 the call failed, 2 usage, 3 the key is not valid or may
not do this, 4 conflict with another change, 5 unavailable and not run,
6 outcome unknown or stored but not confirmed, 7 schema diff found differences.
)";

std::vector<Command> AllCommands()
{
  std::vector<Command> commands;
  for (const auto& topic : { ObjectCommands(),
                             KeyCommands(),
                             SchemaCommands(),
                             DrainCommands(),
                             StatusCommands(),
                             CallCommands() }) {
    commands.insert(commands.end(), topic.begin(), topic.end());
  }
  Command completion;
  completion.mName = "completion";
  completion.mSummary = "Print a completion script for a shell";
  completion.mForms = { "bash" };
  completion.mVerbs = { "bash" };
  completion.mNeedsHost = false;
  completion.mRun = [](const Session&,
                       const Arguments& aArguments) -> Result<int> {
    if (aArguments.Positional(0) != "bash") {
      return UsageError("only bash is supported");
    }
    std::cout << BashCompletion(AllCommands());
    return Success;
  };
  commands.push_back(completion);
  return commands;
}

void PrintOverview(std::ostream& aOut, const std::vector<Command>& aCommands)
{
  aOut << "Administers a rollout service.\n\nUsage: agatetidectl COMMAND "
          "[ARGUMENT]... [OPTION]...\n\n";
  for (const Command& command : aCommands) {
    aOut << "  " << command.mName
         << std::string(14 - std::min<size_t>(command.mName.size(), 12), ' ')
         << command.mSummary << "\n";
  }
  aOut << "\nagatetidectl COMMAND --help lists the options of a command.\n"
       << kHelpFooter;
}

cxxopts::Options MakeOptions(const Command& aCommand)
{
  const std::string prefix = "agatetidectl " + aCommand.mName + " ";
  cxxopts::Options options(prefix + aCommand.mForms.front(),
                           aCommand.mSummary + ".");
  std::string forms;
  for (size_t i = 1; i < aCommand.mForms.size(); ++i) {
    forms += "\n  " + prefix + aCommand.mForms[i];
  }
  options.custom_help(forms);
  options.positional_help("");
  auto add = options.add_options();
  for (const OptionSpec& option : aCommand.mOptions) {
    if (option.mValueName.empty()) {
      add(option.mName, option.mHelp);
    } else {
      add(option.mName,
          option.mHelp,
          cxxopts::value<std::string>(),
          option.mValueName);
    }
  }
  add("host",
      "Address of a daemon; further addresses, separated by commas, are tried "
      "as long as the request has not run",
      cxxopts::value<std::string>(),
      "ADDRESS:PORT");
  add("key-file",
      "File with the key, instead of AGATETIDE_KEY",
      cxxopts::value<std::string>(),
      "FILE");
  add("timeout-ms",
      "Timeout of one call; 30000 by default",
      cxxopts::value<std::string>(),
      "MS");
  add("json", "Print JSON");
  add("help", "Print this text");
  options.add_options("hidden")(
    "arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "arguments" });
  return options;
}

Arguments ReadArguments(const cxxopts::ParseResult& aParsed)
{
  Arguments arguments;
  if (aParsed.count("arguments") > 0) {
    arguments.mPositional = aParsed["arguments"].as<std::vector<std::string>>();
  }
  for (const auto& item : aParsed.arguments()) {
    if (item.key() != "arguments") {
      arguments.mOptions[item.key()] = item.value();
    }
  }
  arguments.mJson = arguments.Has("json");
  return arguments;
}

std::string FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

Result<std::string> ReadKey(const Arguments& aArguments)
{
  std::string key = FromEnvironment("AGATETIDE_KEY");
  if (aArguments.Has("key-file")) {
    const auto text = ReadInput(aArguments.Value("key-file"));
    if (text.has_error()) {
      return text.error();
    }
    key = *text;
  }
  std::erase_if(key, [](char aChar) { return aChar <= ' '; });
  return key;
}

Result<Session> MakeSession(const Arguments& aArguments, bool aNeedsHost)
{
  SessionOptions options;
  const std::string hosts =
    aArguments.Value("host", FromEnvironment("AGATETIDE_HOST"));
  if (hosts.empty() && aNeedsHost) {
    return UsageError("pass --host ADDRESS:PORT or set AGATETIDE_HOST");
  }
  std::istringstream stream(hosts);
  for (std::string host; std::getline(stream, host, ',');) {
    const auto endpoint = http::ParseEndpoint(host);
    if (endpoint.has_error()) {
      return UsageError("--host: " + endpoint.error().mMessage);
    }
    options.mHosts.push_back(*endpoint);
  }
  auto key = ReadKey(aArguments);
  if (key.has_error()) {
    return key.error();
  }
  options.mKey = std::move(*key);
  const auto timeout =
    ParseNumber("--timeout-ms", aArguments.Value("timeout-ms", "30000"));
  if (timeout.has_error()) {
    return timeout.error();
  }
  options.mTimeout = std::chrono::milliseconds(*timeout);
  return Session(std::move(options));
}

/// Prints an error and returns the exit code for it.
int ReportError(const Error& aError, bool aJson)
{
  if (aJson) {
    std::cerr
      << nlohmann::json{ { "code", ErrorKindName(aError.mKind) },
                         { "message", aError.mMessage },
                         { "remedy", aError.mRemedy },
                         { "execution", ExecutionName(aError.mExecution) } }
           .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
      << "\n";
  } else {
    std::cerr << "agatetidectl: " << FormatError(aError) << "\n";
  }
  return ExitCodeOf(aError);
}

int RunCommand(const Command& aCommand, int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions(aCommand);
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help({ "" }) << kHelpFooter;
    return Success;
  }
  const Arguments arguments = ReadArguments(parsed);
  const auto session = MakeSession(arguments, aCommand.mNeedsHost);
  if (session.has_error()) {
    return ReportError(session.error(), arguments.mJson);
  }
  const auto result = aCommand.mRun(*session, arguments);
  return result.has_error() ? ReportError(result.error(), arguments.mJson)
                            : *result;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::vector<Command> commands = AllCommands();
  const std::string name = aCount > 1 ? aArguments[1] : "";
  if (name == "--help" || name == "help") {
    PrintOverview(std::cout, commands);
    return Success;
  }
  if (name == "--version") {
    std::cout << "agatetidectl " AGATETIDE_VERSION "\n";
    return Success;
  }
  const auto found = std::find_if(
    commands.begin(), commands.end(), [&](const Command& aCommand) {
      return aCommand.mName == name;
    });
  if (found == commands.end()) {
    std::cerr << "agatetidectl: the first argument must be a command\n\n";
    PrintOverview(std::cerr, commands);
    return Usage;
  }
  try {
    return RunCommand(*found, aCount - 1, aArguments + 1);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "agatetidectl " << name << ": " << error.what() << "; see "
              << "agatetidectl " << name << " --help\n";
    return Usage;
  }
}
