#pragma once

#include "agatetide/base/awaitable.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>

namespace agatetide {

/// @brief Calls aRun with the numbers below aCount in their order, up to aLimit
/// of the calls at a time, and returns when all have ended. A call that throws
/// counts as ended. Preconditions: aLimit > 0; aExecutor runs the caller.
Awaitable<void> ForEachConcurrently(
  boost::asio::any_io_executor aExecutor,
  size_t aCount,
  size_t aLimit,
  std::function<Awaitable<void>(size_t)> aRun);

} // namespace agatetide
