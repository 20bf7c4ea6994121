#pragma once

#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <functional>
#include <iostream>

namespace agatetide::doubles {

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
