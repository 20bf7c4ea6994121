#include "agatetide/ctl/objects.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/ctl/output.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <iostream>

namespace agatetide::ctl {

namespace pb = google::protobuf;

namespace {

constexpr int64_t kOverwrite = -1;

/// A kind of configuration object and the subcommand that handles it.
struct Kind
{
  std::string mCommand;
  std::string mKind;
  std::string mSummary;
  /// Placeholder for the object's name in the help text.
  std::string mNamePlaceholder;
  std::string mExample;
};

/// The message in the oneof of aObject.
pb::Message& MutableObjectMessage(v1::ConfigObject& aObject,
                                  const std::string& aKind)
{
  return *aObject.GetReflection()->MutableMessage(
    &aObject, v1::ConfigObject::descriptor()->FindFieldByName(aKind));
}

Error WithConflictRemedy(Error aError, const std::string& aKind)
{
  if (aError.mKind == ErrorKind::Conflict) {
    aError.mRemedy = "another operator changed it: list the " + aKind +
                     " objects, check the new value, then repeat the put; "
                     "--expected-version sets the version that you read";
  }
  return aError;
}

/// Sets the fields that form the name of an object.
Result<bool> SetName(pb::Message& aObject,
                     const std::string& aKind,
                     const std::string& aName)
{
  if (aKind == "placement") {
    const size_t at = aName.find('@');
    if (at == std::string::npos) {
      return UsageError("the name of a placement must be UPSTREAM@ZONE");
    }
    const auto upstream = SetField(aObject, "upstream=" + aName.substr(0, at));
    return upstream.has_error()
             ? upstream
             : SetField(aObject, "availability_zone=" + aName.substr(at + 1));
  }
  return SetField(aObject,
                  aObject.GetDescriptor()->field(0)->name() + "=" + aName);
}

Result<int64_t> ExpectedVersion(const Arguments& aArguments, int64_t aRead)
{
  if (aArguments.Has("overwrite")) {
    return kOverwrite;
  }
  if (aArguments.Has("expected-version")) {
    const auto given =
      ParseNumber("--expected-version", aArguments.Value("expected-version"));
    return given.has_error() ? Result<int64_t>(given.error())
                             : static_cast<int64_t>(*given);
  }
  return aRead;
}

Result<int> List(const Session& aSession,
                 const Arguments& aArguments,
                 const Kind& aKind)
{
  const auto list = ListObjects(aSession, aKind.mKind);
  if (list.has_error()) {
    return list.error();
  }
  if (aArguments.mJson) {
    PrintJson(*list);
  } else {
    std::cout << ObjectTable(*list).Text();
  }
  return Success;
}

/// Applies --file, the name and the assignments to an object.
Result<bool> ApplyInput(pb::Message& aObject,
                        const Arguments& aArguments,
                        const Kind& aKind)
{
  if (aArguments.Has("file")) {
    const auto text = ReadInput(aArguments.Value("file"));
    if (text.has_error()) {
      return text.error();
    }
    aObject.Clear();
    const auto parsed = pb::util::JsonStringToMessage(*text, &aObject);
    if (!parsed.ok()) {
      return UsageError(aArguments.Value("file") + ": " +
                        std::string(parsed.message()));
    }
  }
  auto named = SetName(aObject, aKind.mKind, aArguments.Positional(1));
  if (named.has_error()) {
    return named;
  }
  for (size_t i = 2; i < aArguments.mPositional.size(); ++i) {
    auto set = SetField(aObject, aArguments.Positional(i));
    if (set.has_error()) {
      return set;
    }
  }
  return true;
}

Result<int> Put(const Session& aSession,
                const Arguments& aArguments,
                const Kind& aKind)
{
  auto read = ReadObject(aSession, aKind.mKind, aArguments.Positional(1));
  if (read.has_error()) {
    return read.error();
  }
  const auto filled =
    ApplyInput(MutableObjectMessage(*read->mutable_value(), aKind.mKind),
               aArguments,
               aKind);
  if (filled.has_error()) {
    return filled.error();
  }
  const auto version = ExpectedVersion(aArguments, read->version());
  if (version.has_error()) {
    return version.error();
  }
  const auto put = PutObject(aSession, read->value(), *version);
  if (put.has_error()) {
    return WithConflictRemedy(put.error(), aKind.mKind);
  }
  PrintChange(*put, aArguments);
  return Success;
}

Result<int> Delete(const Session& aSession,
                   const Arguments& aArguments,
                   const Kind& aKind)
{
  const auto read = ReadObject(aSession, aKind.mKind, aArguments.Positional(1));
  if (read.has_error()) {
    return read.error();
  }
  if (read->version() == 0) {
    return Error{ ErrorKind::NotFound,
                  aKind.mKind + "/" + aArguments.Positional(1) +
                    " does not exist",
                  "list the " + aKind.mKind + " objects" };
  }
  const auto version = ExpectedVersion(aArguments, read->version());
  if (version.has_error()) {
    return version.error();
  }
  v1::DeleteRequest request;
  request.set_object(aKind.mKind + "/" + aArguments.Positional(1));
  request.set_expected_version(*version);
  request.set_change_id(SecureHex(8));
  const auto deleted =
    aSession.Invoke<v1::PutResponse>("Admin/Delete", request);
  if (deleted.has_error()) {
    return WithConflictRemedy(deleted.error(), aKind.mKind);
  }
  PrintChange(*deleted, aArguments);
  return Success;
}

Command MakeCommand(const Kind& aKind)
{
  Command command;
  command.mName = aKind.mCommand;
  command.mSummary = aKind.mSummary;
  command.mForms = { "list",
                     "put " + aKind.mNamePlaceholder + " [FIELD=VALUE]...   (" +
                       aKind.mExample + ")",
                     "delete " + aKind.mNamePlaceholder };
  command.mVerbs = { "list", "put", "delete" };
  command.mOptions = {
    { "file", "FILE", "Read the whole object from a JSON file (- for stdin)" },
    { "expected-version",
      "N",
      "Version at which the object was read; 0 if it must not exist yet. By "
      "default, the current version" },
    { "overwrite", "", "Replace any version of the object" },
  };
  command.mRun = [kind = aKind](const Session& aSession,
                                const Arguments& aArguments) -> Result<int> {
    const std::string verb = aArguments.Positional(0);
    if (verb.empty() || verb == "list") {
      return List(aSession, aArguments, kind);
    }
    if (aArguments.Positional(1).empty()) {
      return UsageError("the name is missing");
    }
    if (verb == "put") {
      return Put(aSession, aArguments, kind);
    }
    if (verb == "delete") {
      return Delete(aSession, aArguments, kind);
    }
    return UsageError("unknown verb \"" + verb +
                      "\", expected list, put or delete");
  };
  return command;
}

} // namespace

Result<v1::ListResponse> ListObjects(const Session& aSession,
                                     const std::string& aKind)
{
  v1::ListRequest request;
  request.set_kind(aKind);
  return aSession.Invoke<v1::ListResponse>("Admin/List", request);
}

Result<v1::ListedObject> ReadObject(const Session& aSession,
                                    const std::string& aKind,
                                    const std::string& aName)
{
  const auto list = ListObjects(aSession, aKind);
  if (list.has_error()) {
    return list.error();
  }
  const std::string wanted = aKind + "/" + aName;
  for (const v1::ListedObject& listed : list->objects()) {
    if (listed.object() == wanted) {
      return listed;
    }
  }
  return v1::ListedObject();
}

Result<v1::PutResponse> PutObject(const Session& aSession,
                                  const v1::ConfigObject& aObject,
                                  int64_t aVersion)
{
  v1::PutRequest request;
  *request.mutable_object() = aObject;
  request.set_expected_version(aVersion);
  request.set_change_id(SecureHex(8));
  return aSession.Invoke<v1::PutResponse>("Admin/Put", request);
}

void PrintChange(const v1::PutResponse& aResponse, const Arguments& aArguments)
{
  if (aArguments.mJson) {
    PrintJson(aResponse);
  } else {
    std::cout << "in force everywhere as version " << aResponse.version()
              << "\n";
  }
}

std::vector<Command> ObjectCommands()
{
  const std::vector<Kind> kinds = {
    { "accounts",
      "account",
      "Client accounts",
      "NAME",
      "accounts put office weight=2 operator_role=no" },
    { "routes",
      "route",
      "Upstream group for the calls of a method",
      "METHOD",
      "routes put shop.v1.Parts/Find upstream=parts request_class=urgent" },
    { "staleness",
      "staleness_bound",
      "Staleness bounds of models",
      "MODEL",
      "staleness put repair max_versions=1" },
    { "upstreams",
      "upstream",
      "Upstream groups and their replicas",
      "NAME",
      "upstreams put parts --file parts.json" },
    { "weights",
      "weights",
      "Published weight versions",
      "MODEL",
      "weights put repair version=7 uri=weights/repair/7" },
    { "placements",
      "placement",
      "Replicas to order in an availability zone",
      "UPSTREAM@ZONE",
      "placements put parts@north-a regular=2 preemptible=4" },
    { "hosts",
      "host",
      "Entry hosts in the configuration",
      "ADDRESS",
      "hosts delete 192.0.2.1:7100" },
  };
  std::vector<Command> commands;
  commands.reserve(kinds.size());
  for (const Kind& kind : kinds) {
    commands.push_back(MakeCommand(kind));
  }
  return commands;
}

} // namespace agatetide::ctl
