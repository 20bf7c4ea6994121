#pragma once

#include "agatetide/coordination/config_log.hpp"
#include "agatetide/schema/schema_set.hpp"
#include "agatetide/v1/config.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatetide::daemon {

/// @brief The decoded configuration at one version. Each map is keyed by the
/// name of its objects, for example a route by its method. Immutable and
/// thread-safe.
struct ConfigSnapshot
{
  int64_t mVersion = 0;
  std::map<std::string, v1::Account, std::less<>> mAccounts;
  std::map<std::string, v1::Key, std::less<>> mKeys;
  std::map<std::string, v1::Route, std::less<>> mRoutes;
  std::map<std::string, v1::StalenessBound, std::less<>> mStalenessBounds;
  std::map<std::string, v1::Upstream, std::less<>> mUpstreams;
  std::map<std::string, v1::Host, std::less<>> mHosts;
  std::map<std::string, v1::Weights, std::less<>> mWeights;
  std::map<std::string, v1::Placement, std::less<>> mPlacements;
  std::vector<schema::SchemaFile> mSchemaFiles;
  std::shared_ptr<const schema::SchemaSet> mSchema;
  /// The state that this snapshot was decoded from.
  std::shared_ptr<const coordination::ConfigState> mState;
};

/// @brief Decodes a state. Objects that cannot be decoded are logged and left
/// out. Reuses the parsed schema of aPrevious (may be nullptr) when the schema
/// files are unchanged or not valid.
std::shared_ptr<const ConfigSnapshot> MakeSnapshot(
  std::shared_ptr<const coordination::ConfigState> aState,
  const ConfigSnapshot* aPrevious);

/// @brief Returns the key "kind/name" under which an object is stored.
/// Errors: InvalidArgument when the object is empty or has no name.
Result<std::string> ObjectKey(const v1::ConfigObject& aObject);

} // namespace agatetide::daemon
