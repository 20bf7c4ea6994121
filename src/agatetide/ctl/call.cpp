#include "agatetide/ctl/command.hpp"
#include "agatetide/ctl/output.hpp"

#include <iostream>

namespace agatetide::ctl {

namespace {

Result<int> RunLocate(const Session& aSession, const Arguments& aArguments)
{
  v1::LocateRequest request;
  request.set_availability_zone(aArguments.Value("zone"));
  request.set_region(aArguments.Value("region"));
  const auto located =
    aSession.Invoke<v1::LocateResponse>("Directory/Locate", request);
  if (located.has_error()) {
    return located.error();
  }
  if (aArguments.mJson) {
    PrintJson(*located);
    return Success;
  }
  std::cout << MessageTable(located->hosts()).Text() << "valid for "
            << located->lifetime_ms() << " ms\n";
  return Success;
}

Result<int> RunCall(const Session& aSession, const Arguments& aArguments)
{
  RawCall call;
  call.mMethod = aArguments.Positional(0);
  if (call.mMethod.empty()) {
    return UsageError("the method is missing");
  }
  call.mBody =
    aArguments.Positional(1).empty() ? "{}" : aArguments.Positional(1);
  call.mRequestId = aArguments.Value("request-id");
  if (aArguments.Has("file")) {
    const auto body = ReadInput(aArguments.Value("file"));
    if (body.has_error()) {
      return body.error();
    }
    call.mBody = *body;
  }
  const auto response = aSession.Send(call);
  if (response.has_error()) {
    return response.error();
  }
  std::cout << *response << "\n";
  return Success;
}

} // namespace

std::vector<Command> CallCommands()
{
  Command locate;
  locate.mName = "locate";
  locate.mSummary = "Addresses that a caller should use";
  locate.mForms = { "" };
  locate.mOptions = {
    { "zone", "ZONE", "Availability zone of the caller" },
    { "region", "REGION", "Region of the caller" },
  };
  locate.mRun = RunLocate;

  Command call;
  call.mName = "call";
  call.mSummary = "Send one call with a JSON body";
  call.mForms = { "METHOD [BODY]" };
  call.mOptions = {
    { "request-id",
      "ID",
      "Request id; use the same id when sending a request again" },
    { "file", "FILE", "Read the body from a file (- for stdin)" },
  };
  call.mRun = RunCall;
  return { locate, call };
}

} // namespace agatetide::ctl
