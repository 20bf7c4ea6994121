// Echoes request bodies with the daemon's HTTP server: the baseline for the
// daemon's overhead per request.

#include "doubles/double_runner.hpp"

using namespace agatetide;

int main(int aCount, char** aArguments)
{
  return doubles::RunDouble(
    cxxopts::Options("double_echo"), aCount, aArguments, [](auto&, auto&) {
      return [](http::Request aRequest) -> Awaitable<http::Response> {
        co_return http::MakeResponse(
          200, "application/json", std::move(aRequest.mBody));
      };
    });
}
