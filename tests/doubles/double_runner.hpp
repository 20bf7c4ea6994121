#pragma once

#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <functional>
#include <iostream>

namespace agatetide::doubles {

/// @brief Round trip between regions. The test addresses are
/// 127.<net>.<zone>.<host>, so the sender's third octet names its zone, and
/// each zone is a region of its own.
struct RegionDelay
{
  std::string mZone;
  int mMilliseconds = 0;

  std::chrono::milliseconds For(const std::string& aPeer) const
  {
    const size_t second = aPeer.find('.', aPeer.find('.') + 1);
    const size_t third = aPeer.find('.', second + 1);
    // The harness and other senders without a zone use 127.0.0.1.
    if (aPeer == "127.0.0.1" || third == std::string::npos ||
        aPeer.substr(second + 1, third - second - 1) == mZone) {
      return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(mMilliseconds);
  }
};

inline void AddRegionDelay(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "zone", "", cxxopts::value<std::string>()->default_value(""))(
    "region-ms", "", cxxopts::value<int>()->default_value("0"));
}

inline RegionDelay RegionDelayFrom(const cxxopts::ParseResult& aParsed)
{
  return { aParsed["zone"].as<std::string>(), aParsed["region-ms"].as<int>() };
}

/// @brief Runs one test double: parses --listen, serves until SIGTERM.
/// aMake gets the executor and the parsed options and returns the handler.
inline int RunDouble(
  cxxopts::Options aOptions,
  int aCount,
  char** aArguments,
  const std::function<http::Handler(boost::asio::io_context&,
                                    const cxxopts::ParseResult&)>& aMake)
{
  aOptions.add_options()(
    "listen", "address:port", cxxopts::value<std::string>());
  const auto parsed = aOptions.parse(aCount, aArguments);
  const auto endpoint = http::ParseEndpoint(parsed["listen"].as<std::string>());
  if (endpoint.has_error()) {
    std::cerr << FormatError(endpoint.error()) << "\n";
    return 2;
  }
  boost::asio::io_context context(1);
  http::ServerOptions options;
  options.mAddress = endpoint->mAddress;
  options.mPort = endpoint->mPort;
  auto server = http::Server::Create(
    context.get_executor(), options, aMake(context, parsed));
  if (server.has_error()) {
    std::cerr << FormatError(server.error()) << "\n";
    return 4;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}

} // namespace agatetide::doubles
