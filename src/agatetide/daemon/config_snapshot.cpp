#include "agatetide/daemon/config_snapshot.hpp"

#include "agatetide/base/event_log.hpp"

namespace agatetide::daemon {

namespace {

void Insert(ConfigSnapshot& aSnapshot, v1::ConfigObject&& aObject)
{
  switch (aObject.object_case()) {
    case v1::ConfigObject::kAccount:
      aSnapshot.mAccounts[aObject.account().name()] = aObject.account();
      return;
    case v1::ConfigObject::kKey:
      aSnapshot.mKeys[aObject.key().id()] = aObject.key();
      return;
    case v1::ConfigObject::kRoute:
      aSnapshot.mRoutes[aObject.route().method()] = aObject.route();
      return;
    case v1::ConfigObject::kStalenessBound:
      aSnapshot.mStalenessBounds[aObject.staleness_bound().model()] =
        aObject.staleness_bound();
      return;
    case v1::ConfigObject::kSchema:
      aSnapshot.mSchemaFiles.push_back(
        { aObject.schema().name(), aObject.schema().source() });
      return;
    case v1::ConfigObject::kUpstream:
      aSnapshot.mUpstreams[aObject.upstream().name()] = aObject.upstream();
      return;
    case v1::ConfigObject::kHost:
      aSnapshot.mHosts[aObject.host().address()] = aObject.host();
      return;
    case v1::ConfigObject::kWeights:
      aSnapshot.mWeights[aObject.weights().model()] = aObject.weights();
      return;
    case v1::ConfigObject::kPlacement: {
      const v1::Placement& placement = aObject.placement();
      aSnapshot.mPlacements[placement.upstream() + "@" +
                            placement.availability_zone()] = placement;
      return;
    }
    case v1::ConfigObject::OBJECT_NOT_SET:
      return;
  }
}

bool HaveSameSchemaFiles(const ConfigSnapshot& aLeft,
                         const ConfigSnapshot& aRight)
{
  return std::equal(
    aLeft.mSchemaFiles.begin(),
    aLeft.mSchemaFiles.end(),
    aRight.mSchemaFiles.begin(),
    aRight.mSchemaFiles.end(),
    [](const schema::SchemaFile& aOne, const schema::SchemaFile& aOther) {
      return aOne.mName == aOther.mName && aOne.mSource == aOther.mSource;
    });
}

void LoadSchema(ConfigSnapshot& aSnapshot, const ConfigSnapshot* aPrevious)
{
  if (aPrevious != nullptr && aPrevious->mSchema &&
      HaveSameSchemaFiles(aSnapshot, *aPrevious)) {
    aSnapshot.mSchema = aPrevious->mSchema;
    return;
  }
  auto schema = schema::SchemaSet::Create(aSnapshot.mSchemaFiles);
  if (schema.has_value()) {
    aSnapshot.mSchema = *schema;
    return;
  }
  // Unexpected: the Admin service validates schema files before it stores them.
  LogEvent("schema_invalid", LogLevel::Error)
    .Field("error", FormatError(schema.error()))
    .Write();
  aSnapshot.mSchema = aPrevious != nullptr
                        ? aPrevious->mSchema
                        : schema::SchemaSet::Create({}).value();
}

struct ObjectName
{
  std::string_view mKind;
  std::string mName;
};

ObjectName NameOf(const v1::ConfigObject& aObject)
{
  switch (aObject.object_case()) {
    case v1::ConfigObject::kAccount:
      return { "account", aObject.account().name() };
    case v1::ConfigObject::kKey:
      return { "key", aObject.key().id() };
    case v1::ConfigObject::kRoute:
      return { "route", aObject.route().method() };
    case v1::ConfigObject::kStalenessBound:
      return { "staleness_bound", aObject.staleness_bound().model() };
    case v1::ConfigObject::kSchema:
      return { "schema", aObject.schema().name() };
    case v1::ConfigObject::kUpstream:
      return { "upstream", aObject.upstream().name() };
    case v1::ConfigObject::kHost:
      return { "host", aObject.host().address() };
    case v1::ConfigObject::kWeights:
      return { "weights", aObject.weights().model() };
    case v1::ConfigObject::kPlacement:
      return { "placement",
               aObject.placement().upstream() + "@" +
                 aObject.placement().availability_zone() };
    case v1::ConfigObject::OBJECT_NOT_SET:
      break;
  }
  return { "", "" };
}

} // namespace

std::shared_ptr<const ConfigSnapshot> MakeSnapshot(
  std::shared_ptr<const coordination::ConfigState> aState,
  const ConfigSnapshot* aPrevious)
{
  auto snapshot = std::make_shared<ConfigSnapshot>();
  snapshot->mVersion = aState->mVersion;
  for (const auto& [key, object] : aState->mObjects) {
    v1::ConfigObject decoded;
    if (decoded.ParseFromString(object.mValue)) {
      Insert(*snapshot, std::move(decoded));
    } else {
      LogEvent("config_object_unreadable", LogLevel::Error)
        .Field("object", key)
        .Write();
    }
  }
  LoadSchema(*snapshot, aPrevious);
  snapshot->mState = std::move(aState);
  return snapshot;
}

Result<std::string> ObjectKey(const v1::ConfigObject& aObject)
{
  const ObjectName name = NameOf(aObject);
  if (name.mName.empty()) {
    return Error{ ErrorKind::InvalidArgument,
                  "the object is empty or has no name",
                  "set exactly one kind of object and its name" };
  }
  return std::string(name.mKind) + "/" + name.mName;
}

} // namespace agatetide::daemon
