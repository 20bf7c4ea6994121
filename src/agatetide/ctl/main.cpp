#include "agatetide/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

using namespace agatetide;

namespace {

enum ExitCode
{
  Normal = 0,
  CallFailed = 1,
  Usage = 2,
};

Result<http::Response> CallOnce(const http::Endpoint& aHost,
                                const http::Request& aRequest)
{
  boost::asio::io_context context(1);
  const auto client = http::Client::Create(context.get_executor());
  std::optional<Result<http::Response>> answer;
  const http::CallOptions options{ std::chrono::steady_clock::now() +
                                   std::chrono::seconds(30) };
  boost::asio::co_spawn(
    context,
    [&]() -> Awaitable<void> {
      answer = co_await client->Call(aHost, aRequest, options);
    },
    boost::asio::detached);
  context.run();
  return *answer;
}

int RunCall(const std::string& aHost,
            const std::string& aMethod,
            const std::string& aBody)
{
  const auto host = http::ParseEndpoint(aHost);
  if (host.has_error()) {
    std::cerr << FormatError(host.error()) << "\n";
    return Usage;
  }
  http::Request request;
  request.mTarget = "/" + aMethod;
  request.mHeaders.push_back({ "content-type", "application/json" });
  if (const char* key = std::getenv("AGATETIDE_KEY")) {
    request.mHeaders.push_back(
      { "authorization", std::string("Bearer ") + key });
  }
  request.mBody = aBody;
  const auto answer = CallOnce(*host, request);
  if (answer.has_error()) {
    std::cerr << FormatError(answer.error()) << "\n";
    return CallFailed;
  }
  if (answer->mStatus != 200) {
    std::cerr << FormatError(http::ParseErrorResponse(*answer)) << "\n";
    return CallFailed;
  }
  std::cout << answer->mBody << "\n";
  return Normal;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("agatetidectl", "Operates a rollout service.");
  options.add_options()(
    "host", "Address of any daemon", cxxopts::value<std::string>())(
    "help", "Print this text")(
    "method", "Method to call", cxxopts::value<std::string>())(
    "body", "JSON body", cxxopts::value<std::string>()->default_value("{}"));
  options.parse_positional({ "method", "body" });
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0 || parsed.count("host") == 0 ||
        parsed.count("method") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? Normal : Usage;
    }
    return RunCall(parsed["host"].as<std::string>(),
                   parsed["method"].as<std::string>(),
                   parsed["body"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "agatetidectl: " << error.what() << "\n";
    return Usage;
  }
}
