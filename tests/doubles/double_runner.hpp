#pragma once

#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <functional>
#include <iostream>

namespace agatetide::doubles {

/// @brief Simulated round trip between regions. Test addresses are
/// 127.<net>.<zone>.<host>, so the third octet of the sender names its zone;
/// each zone is a region of its own.
struct RegionDelay
{
  std::string mZone;
  int mRoundTripMs = 0;

  std::chrono::milliseconds DelayFor(const std::string& aPeerAddress) const
  {
    const size_t secondDot = aPeerAddress.find('.', aPeerAddress.find('.') + 1);
    const size_t thirdDot = aPeerAddress.find('.', secondDot + 1);
    // Senders without a zone, such as the harness, use 127.0.0.1.
    if (aPeerAddress == "127.0.0.1" || thirdDot == std::string::npos ||
        aPeerAddress.substr(secondDot + 1, thirdDot - secondDot - 1) == mZone) {
      return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(mRoundTripMs);
  }
};

inline void AddRegionDelayOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "zone", "", cxxopts::value<std::string>()->default_value(""))(
    "region-ms", "", cxxopts::value<int>()->default_value("0"));
}

inline RegionDelay ParseRegionDelay(const cxxopts::ParseResult& aParsed)
{
  return { aParsed["zone"].as<std::string>(), aParsed["region-ms"].as<int>() };
}

/// @brief Runs one test double: parses the options, listens at --listen and
/// serves until SIGTERM or SIGINT. aMakeHandler returns the handler for the
/// parsed options. Returns the exit code: 2 if the address is invalid, 4 if it
/// cannot be bound.
inline int RunDouble(
  cxxopts::Options aOptions,
  int aCount,
  char** aArguments,
  const std::function<http::Handler(boost::asio::io_context&,
                                    const cxxopts::ParseResult&)>& aMakeHandler)
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
    context.get_executor(), options, aMakeHandler(context, parsed));
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
