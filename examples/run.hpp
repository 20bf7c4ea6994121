#pragma once

#include <agatetide/base/awaitable.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>

/// Runs a coroutine to completion and returns its result.
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

/// Prints the result of a check and exits with code 1 if it failed.
inline void Expect(bool aCondition, const char* aDescription)
{
  std::printf("%s: %s\n", aCondition ? "ok" : "failed", aDescription);
  if (!aCondition) {
    std::exit(1);
  }
}
