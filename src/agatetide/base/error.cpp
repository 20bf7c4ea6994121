#include "agatetide/base/error.hpp"

#include <array>
#include <utility>

namespace agatetide {

namespace {

struct KindName
{
  ErrorKind mKind;
  std::string_view mName;
};

constexpr std::array<KindName, 14> kKindNames{ {
  { ErrorKind::InvalidArgument, "invalid_argument" },
  { ErrorKind::Unauthenticated, "unauthenticated" },
  { ErrorKind::PermissionDenied, "permission_denied" },
  { ErrorKind::NotFound, "not_found" },
  { ErrorKind::Conflict, "aborted" },
  { ErrorKind::ResourceExhausted, "resource_exhausted" },
  { ErrorKind::TooLarge, "too_large" },
  { ErrorKind::Unavailable, "unavailable" },
  { ErrorKind::DeadlineExceeded, "deadline_exceeded" },
  { ErrorKind::NotConfirmed, "not_confirmed" },
  { ErrorKind::OutcomeUnknown, "outcome_unknown" },
  { ErrorKind::DataLoss, "data_loss" },
  { ErrorKind::Canceled, "canceled" },
  { ErrorKind::Internal, "internal" },
} };

} // namespace

std::string_view ErrorKindName(ErrorKind aKind)
{
  for (const KindName& entry : kKindNames) {
    if (entry.mKind == aKind) {
      return entry.mName;
    }
  }
  return "internal";
}

ErrorKind ErrorKindFromName(std::string_view aName)
{
  for (const KindName& entry : kKindNames) {
    if (entry.mName == aName) {
      return entry.mKind;
    }
  }
  return ErrorKind::Internal;
}

std::string_view ExecutionName(Execution aExecution)
{
  switch (aExecution) {
    case Execution::NotRun:
      return "not_run";
    case Execution::Completed:
      return "completed";
    case Execution::Unknown:
      break;
  }
  return "unknown";
}

Execution ExecutionFromName(std::string_view aName)
{
  if (aName == "not_run") {
    return Execution::NotRun;
  }
  return aName == "completed" ? Execution::Completed : Execution::Unknown;
}

std::string FormatError(const Error& aError)
{
  std::string text(ErrorKindName(aError.mKind));
  text += ": ";
  text += aError.mMessage;
  if (!aError.mRemedy.empty()) {
    text += " (" + aError.mRemedy + ")";
  }
  return text;
}

void throw_exception_from_error(const Error& aError,
                                const boost::source_location& /*aLocation*/)
{
  throw std::runtime_error(FormatError(aError));
}

} // namespace agatetide
