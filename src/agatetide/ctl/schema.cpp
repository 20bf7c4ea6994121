#include "agatetide/schema/schema_set.hpp"

#include "agatetide/ctl/objects.hpp"
#include "agatetide/ctl/output.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <map>
#include <set>

namespace agatetide::ctl {

namespace {

using Methods = std::map<std::string, schema::Method>;

Result<Methods> ParseMethods(std::span<const schema::SchemaFile> aFiles)
{
  const auto parsed = schema::SchemaSet::Create(aFiles);
  if (parsed.has_error()) {
    return parsed.error();
  }
  Methods methods;
  for (const schema::Method& method : (*parsed)->Methods()) {
    methods[method.mName] = method;
  }
  return methods;
}

std::string Describe(const schema::Method& aMethod)
{
  return aMethod.mRequestType + " -> " + aMethod.mResponseType +
         (aMethod.mIdempotent ? " idempotent" : " not idempotent");
}

/// One line for each added (+), removed (-) and changed (~) method.
std::vector<std::string> DiffLines(const Methods& aOld, const Methods& aNew)
{
  std::vector<std::string> lines;
  for (const auto& [name, method] : aNew) {
    const auto before = aOld.find(name);
    if (before == aOld.end()) {
      lines.push_back("+ " + name + ": " + Describe(method));
    } else if (Describe(before->second) != Describe(method)) {
      lines.push_back("~ " + name + ": " + Describe(before->second) +
                      " becomes " + Describe(method));
    }
  }
  for (const auto& [name, method] : aOld) {
    if (!aNew.contains(name)) {
      lines.push_back("- " + name + ": " + Describe(method));
    }
  }
  return lines;
}

struct LoadedSchemas
{
  std::vector<schema::SchemaFile> mFiles;
  /// Source of the loaded file with the requested name; empty if there is none.
  std::string mCurrentSource;
};

Result<LoadedSchemas> ReadLoadedSchemas(const Session& aSession,
                                        const std::string& aName)
{
  const auto list = ListObjects(aSession, "schema");
  if (list.has_error()) {
    return list.error();
  }
  LoadedSchemas loaded;
  for (const v1::ListedObject& listed : list->objects()) {
    const v1::Schema& file = listed.value().schema();
    loaded.mFiles.push_back({ file.name(), file.source() });
    if (file.name() == aName) {
      loaded.mCurrentSource = file.source();
    }
  }
  return loaded;
}

Result<int> Diff(const Session& aSession,
                 const v1::Schema& aSchema,
                 const Arguments& aArguments)
{
  auto loaded = ReadLoadedSchemas(aSession, aSchema.name());
  if (loaded.has_error()) {
    return loaded.error();
  }
  const auto before = ParseMethods(loaded->mFiles);
  std::erase_if(loaded->mFiles, [&](const schema::SchemaFile& aFile) {
    return aFile.mName == aSchema.name();
  });
  loaded->mFiles.push_back({ aSchema.name(), aSchema.source() });
  const auto after = ParseMethods(loaded->mFiles);
  for (const auto* methods : { &before, &after }) {
    if (methods->has_error()) {
      return methods->error();
    }
  }
  std::vector<std::string> lines = DiffLines(*before, *after);
  const bool same = loaded->mCurrentSource == aSchema.source();
  if (lines.empty() && !same) {
    lines.emplace_back("~ the text differs, the methods are the same");
  }
  if (aArguments.mJson) {
    std::cout << nlohmann::json{
      { "same", same }, { "differences", lines }
    }.dump() << "\n";
  } else {
    for (const std::string& line : lines) {
      std::cout << line << "\n";
    }
  }
  return same ? Success : SchemaDiffers;
}

Result<v1::CheckSchemaResponse> Check(const Session& aSession,
                                      const v1::Schema& aSchema)
{
  v1::CheckSchemaRequest request;
  *request.mutable_schema() = aSchema;
  return aSession.Invoke<v1::CheckSchemaResponse>("Admin/CheckSchema", request);
}

/// Refuses a schema that removes methods with routes: calls of such a method
/// would fail with not_found. --force skips the check.
Result<bool> RefuseRemovalOfRoutedMethods(
  const Session& aSession,
  const v1::CheckSchemaResponse& aChecked)
{
  const auto routes = ListObjects(aSession, "route");
  if (routes.has_error()) {
    return routes.error();
  }
  const std::set<std::string> removed(aChecked.removed().begin(),
                                      aChecked.removed().end());
  std::string routed;
  for (const v1::ListedObject& listed : routes->objects()) {
    if (removed.contains(listed.value().route().method())) {
      routed += " " + listed.value().route().method();
    }
  }
  if (routed.empty()) {
    return true;
  }
  return Error{ ErrorKind::InvalidArgument,
                "the schema removes methods that have routes:" + routed,
                "delete these routes first, or use --force" };
}

Result<int> Load(const Session& aSession,
                 const v1::Schema& aSchema,
                 const Arguments& aArguments)
{
  const auto read = ReadObject(aSession, "schema", aSchema.name());
  if (read.has_error()) {
    return read.error();
  }
  const auto checked = Check(aSession, aSchema);
  if (checked.has_error()) {
    return checked.error();
  }
  if (!aArguments.Has("force")) {
    const auto allowed = RefuseRemovalOfRoutedMethods(aSession, *checked);
    if (allowed.has_error()) {
      return allowed.error();
    }
  }
  v1::ConfigObject object;
  *object.mutable_schema() = aSchema;
  const auto put = PutObject(aSession, object, read->version());
  if (put.has_error()) {
    Error error = put.error();
    if (error.mKind == ErrorKind::Conflict) {
      error.mRemedy = "another operator loaded this schema: run agatetidectl "
                      "schema diff, then load again";
    }
    return error;
  }
  PrintChange(*put, aArguments);
  return Success;
}

Result<int> RunSchema(const Session& aSession, const Arguments& aArguments)
{
  const std::string verb = aArguments.Positional(0);
  if (aArguments.Positional(1).empty()) {
    return UsageError("expected check, load or diff, and a schema file");
  }
  const auto source = ReadInput(aArguments.Positional(1));
  if (source.has_error()) {
    return source.error();
  }
  v1::Schema schema;
  schema.set_source(*source);
  schema.set_name(aArguments.Value(
    "name",
    std::filesystem::path(aArguments.Positional(1)).filename().string()));
  if (verb == "check") {
    const auto checked = Check(aSession, schema);
    if (checked.has_error()) {
      return checked.error();
    }
    if (aArguments.mJson) {
      PrintJson(*checked);
      return Success;
    }
    std::cout << MessageTable(checked->methods()).Text();
    for (const std::string& method : checked->removed()) {
      std::cout << "removes " << method << "\n";
    }
    return Success;
  }
  if (verb == "load") {
    return Load(aSession, schema, aArguments);
  }
  return verb == "diff" ? Diff(aSession, schema, aArguments)
                        : Result<int>(UsageError("unknown verb \"" + verb +
                                                 "\", expected check, load or "
                                                 "diff"));
}

} // namespace

std::vector<Command> SchemaCommands()
{
  Command command;
  command.mName = "schema";
  command.mSummary = "Schema files of the services that callers use";
  command.mForms = { "check FILE", "load FILE", "diff FILE" };
  command.mVerbs = { "check", "load", "diff" };
  command.mOptions = {
    { "name", "NAME", "Name of the schema file; its file name by default" },
    { "force", "", "Load a schema that removes methods that have routes" },
  };
  command.mRun = RunSchema;
  return { command };
}

} // namespace agatetide::ctl
