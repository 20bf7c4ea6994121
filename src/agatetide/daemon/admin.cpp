#include "agatetide/daemon/admin.hpp"

#include "agatetide/daemon/keys.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace agatetide::daemon {

using namespace coordination;
using nlohmann::json;

namespace {

std::string_view StateName(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
    case MemberState::Left:
      break;
  }
  return "left";
}

/// Parses the loaded schema files, with aSchema added or replaced.
Result<std::shared_ptr<const schema::SchemaSet>> ParseSchemaWith(
  const ConfigSnapshot& aConfig,
  const v1::Schema& aSchema)
{
  std::vector<schema::SchemaFile> files;
  for (const schema::SchemaFile& file : aConfig.mSchemaFiles) {
    if (file.mName != aSchema.name()) {
      files.push_back(file);
    }
  }
  files.push_back({ aSchema.name(), aSchema.source() });
  return schema::SchemaSet::Create(files);
}

Error InvalidArgument(std::string aMessage, std::string aRemedy)
{
  return { ErrorKind::InvalidArgument,
           std::move(aMessage),
           std::move(aRemedy) };
}

/// Validates the content of an object before it is stored.
Result<bool> ValidateObject(const ConfigSnapshot& aConfig,
                            const v1::ConfigObject& aObject)
{
  if (aObject.has_schema()) {
    const auto parsed = ParseSchemaWith(aConfig, aObject.schema());
    if (parsed.has_error()) {
      return parsed.error();
    }
  }
  if (aObject.has_key()) {
    return InvalidArgument("keys cannot be written directly",
                           "use GrantKey and WithdrawKey");
  }
  if (aObject.has_account() &&
      aObject.account().name().find_first_of("/\n") != std::string::npos) {
    // A store key of an admission record is "account/request id", which a slash
    // in the account name would make ambiguous.
    return InvalidArgument("the account name contains a slash or a line break",
                           "choose a name without them");
  }
  if (aObject.has_upstream()) {
    for (const v1::Replica& replica : aObject.upstream().replicas()) {
      const auto endpoint = http::ParseEndpoint(replica.address());
      if (endpoint.has_error()) {
        return endpoint.error();
      }
    }
  }
  return true;
}

} // namespace

Awaitable<Result<v1::PutResponse>> Admin::ChangeObject(std::string aKey,
                                                       std::string aValue,
                                                       bool aDeleted,
                                                       int64_t aExpectedVersion,
                                                       std::string aChangeId)
{
  if (aChangeId.empty()) {
    aChangeId = SecureHex(8);
  }
  const TimePoint started = mContext.mClock();
  ConfigWrite write{
    std::move(aChangeId), aKey, aDeleted, std::move(aValue), aExpectedVersion
  };
  const auto version = co_await mContext.mControl.mChange(std::move(write));
  const auto took =
    std::chrono::duration_cast<Milliseconds>(mContext.mClock() - started);
  LogEvent("config_change")
    .Field("object", aKey)
    .Field("deleted", aDeleted)
    .Field("took_ms", static_cast<int64_t>(took.count()))
    .Field("result",
           version.has_error() ? FormatError(version.error()) : "accepted")
    .Write();
  if (version.has_error()) {
    co_return version.error();
  }
  v1::PutResponse response;
  response.set_version(*version);
  co_return response;
}

Awaitable<Result<v1::PutResponse>> Admin::Put(v1::PutRequest aRequest)
{
  const auto key = ObjectKey(aRequest.object());
  if (key.has_error()) {
    co_return key.error();
  }
  const auto valid =
    ValidateObject(*mContext.mView->mConfig, aRequest.object());
  if (valid.has_error()) {
    co_return valid.error();
  }
  co_return co_await ChangeObject(*key,
                                  aRequest.object().SerializeAsString(),
                                  false,
                                  aRequest.expected_version(),
                                  aRequest.change_id());
}

Awaitable<Result<v1::PutResponse>> Admin::Delete(v1::DeleteRequest aRequest)
{
  if (aRequest.object().find('/') == std::string::npos) {
    co_return InvalidArgument("\"" + aRequest.object() +
                                "\" is not the name of an object",
                              "use the form kind/name");
  }
  co_return co_await ChangeObject(aRequest.object(),
                                  "",
                                  true,
                                  aRequest.expected_version(),
                                  aRequest.change_id());
}

Result<v1::ListResponse> Admin::List(const v1::ListRequest& aRequest) const
{
  v1::ListResponse response;
  const auto& state = *mContext.mView->mConfig->mState;
  response.set_version(state.mVersion);
  const std::string prefix =
    aRequest.kind().empty() ? "" : aRequest.kind() + "/";
  for (const auto& [key, object] : state.mObjects) {
    if (!key.starts_with(prefix)) {
      continue;
    }
    v1::ListedObject* listed = response.add_objects();
    listed->set_object(key);
    listed->set_version(object.mVersion);
    listed->mutable_value()->ParseFromString(object.mValue);
    if (listed->value().has_key()) {
      listed->mutable_value()->mutable_key()->clear_salt();
      listed->mutable_value()->mutable_key()->clear_digest();
    }
  }
  return response;
}

Awaitable<Result<v1::GrantKeyResponse>> Admin::GrantKey(
  v1::GrantKeyRequest aRequest)
{
  if (!mContext.mView->mConfig->mAccounts.contains(aRequest.account())) {
    co_return Error{ ErrorKind::NotFound,
                     "client account " + aRequest.account() + " does not exist",
                     "create the account first" };
  }
  const GrantedKey granted =
    daemon::GrantKey(aRequest.account(), mContext.mWallClock());
  v1::ConfigObject object;
  *object.mutable_key() = granted.mRecord;
  const auto stored = co_await ChangeObject("key/" + granted.mRecord.id(),
                                            object.SerializeAsString(),
                                            false,
                                            0,
                                            aRequest.change_id());
  if (stored.has_error()) {
    co_return stored.error();
  }
  v1::GrantKeyResponse response;
  response.set_key(granted.mText);
  response.set_id(granted.mRecord.id());
  response.set_version(stored->version());
  co_return response;
}

Awaitable<Result<v1::PutResponse>> Admin::WithdrawKey(
  v1::WithdrawKeyRequest aRequest)
{
  const auto config = mContext.mView->mConfig;
  const auto found = config->mKeys.find(aRequest.id());
  if (found == config->mKeys.end()) {
    co_return Error{ ErrorKind::NotFound,
                     "key " + aRequest.id() + " does not exist",
                     "list the keys" };
  }
  v1::ConfigObject object;
  *object.mutable_key() = found->second;
  object.mutable_key()->set_withdrawn(true);
  co_return co_await ChangeObject("key/" + aRequest.id(),
                                  object.SerializeAsString(),
                                  false,
                                  kAnyVersion,
                                  aRequest.change_id());
}

Result<v1::CheckSchemaResponse> Admin::CheckSchema(
  const v1::CheckSchemaRequest& aRequest) const
{
  const ConfigSnapshot& config = *mContext.mView->mConfig;
  const auto parsed = ParseSchemaWith(config, aRequest.schema());
  if (parsed.has_error()) {
    return parsed.error();
  }
  v1::CheckSchemaResponse response;
  for (const schema::Method& method : (*parsed)->Methods()) {
    v1::SchemaMethod* listed = response.add_methods();
    listed->set_method(method.mName);
    listed->set_idempotent(method.mIdempotent);
    listed->set_routed(config.mRoutes.contains(method.mName));
  }
  for (const schema::Method& method : config.mSchema->Methods()) {
    if ((*parsed)->Find(method.mName) == nullptr) {
      response.add_removed(method.mName);
    }
  }
  return response;
}

v1::StatusResponse Admin::Status() const
{
  const TrafficView& view = *mContext.mView;
  v1::StatusResponse response;
  response.set_config_version(view.mConfig->mVersion);
  response.set_trusted(mContext.mClock() <= view.mFreshUntil);
  response.set_store_contact(view.mStoreContact);
  const auto add = [&](const MemberUpdate& aInfo, int64_t aVersion) {
    v1::HostStatus* host = response.add_hosts();
    host->set_address(aInfo.mAddress);
    host->set_caller_address(aInfo.mCallerAddress);
    host->set_availability_zone(aInfo.mAvailabilityZone);
    host->set_region(aInfo.mRegion);
    host->set_state(std::string(StateName(aInfo.mState)));
    host->set_draining(aInfo.mDraining);
    host->set_config_version(aVersion);
  };
  add(view.mSelf, view.mConfig->mVersion);
  for (const Member& member : view.mMembers) {
    add(member.mInfo, member.mConfigVersion);
  }
  for (const auto& [duty, holder] : view.mDutyHolders) {
    v1::LeaseStatus* lease = response.add_leases();
    lease->set_duty(duty);
    lease->set_holder(holder);
  }
  for (const auto& [name, upstream] : view.mConfig->mUpstreams) {
    for (const v1::Replica& replica : upstream.replicas()) {
      v1::ReplicaStatus* status = response.add_replicas();
      status->set_upstream(name);
      status->set_address(replica.address());
      status->set_leaving(replica.leaving() ||
                          view.mDrainingReplicas.contains(replica.address()));
      if (const auto load = view.mLoads.find(replica.address());
          load != view.mLoads.end()) {
        status->set_running(load->second.mRunning);
        status->set_queued(load->second.mQueued);
        status->set_weight_version(load->second.mWeightVersion);
      }
    }
  }
  for (const uint64_t fingerprint : view.mQuarantined) {
    char text[20];
    std::snprintf(text,
                  sizeof text,
                  "%016llx",
                  static_cast<unsigned long long>(fingerprint));
    response.add_quarantined(text);
  }
  return response;
}

Awaitable<Result<v1::UsageResponse>> Admin::Usage(v1::UsageRequest aRequest)
{
  const auto windows =
    co_await mContext.mControl.mSealedWindows(std::max(1U, aRequest.windows()));
  if (windows.has_error()) {
    co_return windows.error();
  }
  v1::UsageResponse response;
  for (const std::string& text : *windows) {
    const json window = json::parse(text, nullptr, false);
    if (!window.is_object()) {
      continue;
    }
    for (const json& account : window.value("accounts", json::array())) {
      v1::UsageLine* line = response.add_lines();
      line->set_window(window.value("window", int64_t{ 0 }));
      line->set_account(account.value("account", ""));
      line->set_requests(account.value("requests", uint64_t{ 0 }));
      line->set_tokens(account.value("tokens", uint64_t{ 0 }));
      line->set_upstream_ms(account.value("upstream_ms", uint64_t{ 0 }));
    }
  }
  co_return response;
}

} // namespace agatetide::daemon
