#include "agatetide/process/end.hpp"

namespace agatetide::process {

std::string_view EndCauseName(EndCause aCause)
{
  switch (aCause) {
    case EndCause::Signal:
      return "signal";
    case EndCause::SecondSignal:
      return "second_signal";
    case EndCause::StopTimedOut:
      return "stop_timed_out";
    case EndCause::InvalidSettings:
      return "invalid_settings";
    case EndCause::AddressInUse:
      return "address_in_use";
    case EndCause::ResourcesExhausted:
      return "resources_exhausted";
    case EndCause::RuntimeFailure:
      break;
  }
  return "runtime_failure";
}

ExitCode ExitCodeOf(EndCause aCause)
{
  switch (aCause) {
    case EndCause::Signal:
      return ExitCode::Success;
    case EndCause::InvalidSettings:
      return ExitCode::InvalidSettings;
    case EndCause::AddressInUse:
      return ExitCode::AddressInUse;
    case EndCause::ResourcesExhausted:
      return ExitCode::ResourcesExhausted;
    case EndCause::SecondSignal:
    case EndCause::StopTimedOut:
    case EndCause::RuntimeFailure:
      break;
  }
  return ExitCode::RuntimeFailure;
}

} // namespace agatetide::process
