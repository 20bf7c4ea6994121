#pragma once

#include <boost/system/result.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace agatetide {

/// @brief Category of an error; callers decide by it how to react.
enum class ErrorKind
{
  InvalidArgument,
  Unauthenticated,
  PermissionDenied,
  NotFound,
  Conflict,
  ResourceExhausted,
  /// The request needs more than this service ever has; a repetition fails,
  /// too.
  TooLarge,
  /// The other side cannot be reached or cannot serve now; retry later.
  Unavailable,
  DeadlineExceeded,
  /// The change is stored, but not yet known to be in force on all hosts.
  NotConfirmed,
  /// The request was sent, but it is not known whether it took effect.
  OutcomeUnknown,
  /// A message or stored value is incomplete or malformed.
  DataLoss,
  Canceled,
  Internal,
};

/// @brief Whether the failed request was executed, as far as is known.
enum class Execution
{
  /// The request had no effect and can be repeated.
  NotRun,
  Unknown,
  /// The request ran to its end; the error is its result.
  Completed,
};

/// @brief An error with its category. mRemedy tells the caller or operator what
/// to do next.
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
  std::string mRemedy;
  Execution mExecution = Execution::NotRun;
  /// When a repetition may succeed; std::nullopt if that is unknown, 0 if other
  /// hosts can run it at once.
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

/// @brief A value or an Error. The error is held by value, so that it survives
/// the suspension points of coroutines.
template<class T>
using Result = boost::system::result<T, Error>;

/// @brief The name used in API responses, for example "not_found".
std::string_view ErrorKindName(ErrorKind aKind);

/// @brief The inverse of ErrorKindName(). Returns Internal for unknown names.
ErrorKind ErrorKindFromName(std::string_view aName);

/// @brief "not_run", "unknown" or "completed".
std::string_view ExecutionName(Execution aExecution);

/// @brief The inverse of ExecutionName(). Returns Unknown for unknown names.
Execution ExecutionFromName(std::string_view aName);

/// @brief Formats an error as "kind: message (remedy)" for logs and
/// command-line output.
std::string FormatError(const Error& aError);

/// @brief Throws std::runtime_error with the formatted error. Result::value()
/// calls it (a customization point of Boost.System).
[[noreturn]] void throw_exception_from_error(
  const Error& aError,
  const boost::source_location& aLocation);

} // namespace agatetide
