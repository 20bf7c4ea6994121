#pragma once

#include <agatetide/base/awaitable.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>

/// Runs a coroutine to its end.
template<class T>
T Run(agatetide::Awaitable<T> aAwaitable)
{
  boost::asio::io_context context;
  std::optional<T> result;
  boost::asio::co_spawn(
    context, std::move(aAwaitable), [&](std::exception_ptr aError, T aResult) {
      if (!aError) {
        result.emplace(std::move(aResult));
      }
    });
  context.run();
  return std::move(result.value());
}

/// Ends the example with an error when a step did not do what it shows.
inline void Expect(bool aCondition, const char* aWhat)
{
  std::printf("%s: %s\n", aCondition ? "ok" : "failed", aWhat);
  if (!aCondition) {
    std::exit(1);
  }
}
