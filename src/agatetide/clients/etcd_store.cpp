#include "agatetide/clients/etcd_store.hpp"

#include "agatetide/base/encoding.hpp"

#include <nlohmann/json.hpp>

namespace agatetide::clients {

using namespace coordination;
using nlohmann::json;

namespace {

constexpr const char* kRangePath = "/v3/kv/range";
constexpr const char* kTxnPath = "/v3/kv/txn";
constexpr const char* kGrantPath = "/v3/lease/grant";
constexpr const char* kKeepAlivePath = "/v3/lease/keepalive";
constexpr const char* kRevokePath = "/v3/lease/revoke";

Error BadMessage(std::string_view aWhat)
{
  return { ErrorKind::DataLoss,
           "malformed message of the platform store: " + std::string(aWhat),
           "check that the store endpoint speaks etcd v3's JSON gateway",
           Execution::Unknown };
}

/// The gateway writes 64-bit numbers as strings and leaves zero fields out.
int64_t Number(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  return found->is_string()
           ? std::strtoll(
               found->get_ref<const std::string&>().c_str(), nullptr, 10)
           : found->get<int64_t>();
}

std::string Bytes(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end()
           ? std::string()
           : Base64Decode(found->get_ref<const std::string&>()).value();
}

json RangeJson(const RangeRequest& aRange)
{
  json range = { { "key", Base64Encode(aRange.mKey) } };
  if (!aRange.mRangeEnd.empty()) {
    range["range_end"] = Base64Encode(aRange.mRangeEnd);
  }
  if (aRange.mLimit > 0) {
    range["limit"] = std::to_string(aRange.mLimit);
  }
  return range;
}

json TransactionJson(const TransactionRequest& aCommit)
{
  json body = { { "compare", json::array() },
                { "success", json::array() },
                { "failure", json::array() } };
  for (const StoreCompare& compare : aCommit.mCompares) {
    body["compare"].push_back(
      { { "key", Base64Encode(compare.mKey) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.mModRevision) } });
  }
  for (const StoreDelete& erase : aCommit.mDeletes) {
    body["success"].push_back(
      { { "request_delete_range", { { "key", Base64Encode(erase.mKey) } } } });
  }
  for (const StorePut& put : aCommit.mPuts) {
    json request = { { "key", Base64Encode(put.mKey) },
                     { "value", Base64Encode(put.mValue) } };
    if (put.mLease != 0) {
      request["lease"] = std::to_string(put.mLease);
    }
    body["success"].push_back({ { "request_put", request } });
  }
  for (const std::string& key : aCommit.mReadOnFailure) {
    body["failure"].push_back(
      { { "request_range", { { "key", Base64Encode(key) } } } });
  }
  return body;
}

StoreEntry ParseEntry(const json& aEntry)
{
  return { Bytes(aEntry, "key"),
           Bytes(aEntry, "value"),
           Number(aEntry, "create_revision"),
           Number(aEntry, "mod_revision"),
           Number(aEntry, "lease") };
}

void AppendEntries(const json& aRange, std::vector<StoreEntry>& aEntries)
{
  for (const json& entry : aRange.value("kvs", json::array())) {
    aEntries.push_back(ParseEntry(entry));
  }
}

json EntryJson(const StoreEntry& aEntry)
{
  return { { "key", Base64Encode(aEntry.mKey) },
           { "value", Base64Encode(aEntry.mValue) },
           { "create_revision", std::to_string(aEntry.mCreateRevision) },
           { "mod_revision", std::to_string(aEntry.mModRevision) },
           { "lease", std::to_string(aEntry.mLease) } };
}

TransactionRequest ParseTransaction(const json& aBody)
{
  TransactionRequest commit;
  for (const json& compare : aBody.value("compare", json::array())) {
    commit.mCompares.push_back(
      { Bytes(compare, "key"), Number(compare, "mod_revision") });
  }
  for (const json& operation : aBody.value("success", json::array())) {
    if (operation.contains("request_put")) {
      const json& put = operation["request_put"];
      commit.mPuts.push_back(
        { Bytes(put, "key"), Bytes(put, "value"), Number(put, "lease") });
    } else if (operation.contains("request_delete_range")) {
      commit.mDeletes.push_back(
        { Bytes(operation["request_delete_range"], "key") });
    }
  }
  for (const json& operation : aBody.value("failure", json::array())) {
    commit.mReadOnFailure.push_back(
      Bytes(operation.at("request_range"), "key"));
  }
  return commit;
}

StoreReply ParseReply(const json& aBody)
{
  // Keep-alive answers come as a stream of {"result": {...}}.
  const json& body = aBody.contains("result") ? aBody["result"] : aBody;
  StoreReply reply;
  if (body.contains("header")) {
    reply.mRevision = Number(body["header"], "revision");
  }
  reply.mSucceeded = body.value("succeeded", false);
  reply.mLease = Number(body, "ID");
  reply.mTtlSeconds = Number(body, "TTL");
  AppendEntries(body, reply.mEntries);
  for (const json& response : body.value("responses", json::array())) {
    if (response.contains("response_range")) {
      AppendEntries(response["response_range"], reply.mEntries);
    }
  }
  return reply;
}

bool IsRead(const StoreRequest& aRequest)
{
  return std::holds_alternative<RangeRequest>(aRequest);
}

class EtcdStore
{
public:
  EtcdStore(http::Client& aClient, EtcdStoreOptions aOptions)
    : mClient(aClient)
    , mOptions(std::move(aOptions))
  {
  }

  Awaitable<Result<StoreReply>> Call(StoreRequest aRequest)
  {
    const GatewayRequest encoded = EncodeStoreRequest(aRequest);
    http::CallOptions options;
    options.mDeadline = std::chrono::steady_clock::now() + mOptions.mTimeout;
    Error last;
    for (size_t attempt = 0; attempt < mOptions.mEndpoints.size(); ++attempt) {
      http::Request request;
      request.mTarget = encoded.mPath;
      request.mHeaders.push_back({ "content-type", "application/json" });
      request.mBody = encoded.mBody;
      auto answer = co_await mClient.Call(
        mOptions.mEndpoints[mCurrent], std::move(request), options);
      if (answer.has_value()) {
        co_return Read(*answer, IsRead(aRequest));
      }
      last = answer.error();
      mCurrent = (mCurrent + 1) % mOptions.mEndpoints.size();
      if (last.mExecution != Execution::NotRun && !IsRead(aRequest)) {
        last.mKind = ErrorKind::OutcomeUnknown;
        co_return last;
      }
    }
    last.mKind = ErrorKind::Unavailable;
    last.mExecution = Execution::NotRun;
    co_return last;
  }

private:
  static Result<StoreReply> Read(const http::Response& aAnswer, bool aIsRead)
  {
    if (aAnswer.mStatus == 200) {
      return DecodeStoreReply(aAnswer.mBody);
    }
    return Error{ aIsRead ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown,
                  "the platform store answered HTTP status " +
                    std::to_string(aAnswer.mStatus),
                  "check the state of the platform store",
                  aIsRead ? Execution::NotRun : Execution::Unknown };
  }

  http::Client& mClient;
  EtcdStoreOptions mOptions;
  size_t mCurrent = 0;
};

} // namespace

GatewayRequest EncodeStoreRequest(const StoreRequest& aRequest)
{
  if (const auto* range = std::get_if<RangeRequest>(&aRequest)) {
    return { kRangePath, RangeJson(*range).dump() };
  }
  if (const auto* commit = std::get_if<TransactionRequest>(&aRequest)) {
    return { kTxnPath, TransactionJson(*commit).dump() };
  }
  if (const auto* grant = std::get_if<LeaseGrantRequest>(&aRequest)) {
    return { kGrantPath,
             json{ { "TTL", std::to_string(grant->mTtlSeconds) } }.dump() };
  }
  if (const auto* keep = std::get_if<LeaseKeepAliveRequest>(&aRequest)) {
    return { kKeepAlivePath,
             json{ { "ID", std::to_string(keep->mLease) } }.dump() };
  }
  return { kRevokePath,
           json{
             { "ID",
               std::to_string(std::get<LeaseRevokeRequest>(aRequest).mLease) } }
             .dump() };
}

Result<StoreReply> DecodeStoreReply(std::string_view aBody)
{
  try {
    return ParseReply(json::parse(aBody));
  } catch (const std::exception& error) {
    return BadMessage(error.what());
  }
}

Result<StoreRequest> DecodeStoreRequest(std::string_view aPath,
                                        std::string_view aBody)
{
  try {
    const json body = json::parse(aBody);
    if (aPath == kRangePath) {
      return StoreRequest(RangeRequest{
        Bytes(body, "key"), Bytes(body, "range_end"), Number(body, "limit") });
    }
    if (aPath == kTxnPath) {
      return StoreRequest(ParseTransaction(body));
    }
    if (aPath == kGrantPath) {
      return StoreRequest(LeaseGrantRequest{ Number(body, "TTL") });
    }
    if (aPath == kKeepAlivePath) {
      return StoreRequest(LeaseKeepAliveRequest{ Number(body, "ID") });
    }
    if (aPath == kRevokePath) {
      return StoreRequest(LeaseRevokeRequest{ Number(body, "ID") });
    }
    return BadMessage("unknown path");
  } catch (const std::exception& error) {
    return BadMessage(error.what());
  }
}

std::string EncodeStoreReply(const StoreRequest& aRequest,
                             const StoreReply& aReply)
{
  json body = { { "header",
                  { { "revision", std::to_string(aReply.mRevision) } } } };
  json entries = json::array();
  for (const StoreEntry& entry : aReply.mEntries) {
    entries.push_back(EntryJson(entry));
  }
  if (std::holds_alternative<RangeRequest>(aRequest)) {
    body["kvs"] = entries;
  } else if (std::holds_alternative<TransactionRequest>(aRequest)) {
    body["succeeded"] = aReply.mSucceeded;
    body["responses"] = json::array();
    if (!entries.empty()) {
      body["responses"].push_back(
        { { "response_range", { { "kvs", entries } } } });
    }
  } else {
    body["ID"] = std::to_string(aReply.mLease);
    body["TTL"] = std::to_string(aReply.mTtlSeconds);
  }
  if (std::holds_alternative<LeaseKeepAliveRequest>(aRequest)) {
    return json{ { "result", body } }.dump();
  }
  return body.dump();
}

StoreCall MakeEtcdStore(http::Client& aClient, EtcdStoreOptions aOptions)
{
  auto store = std::make_shared<EtcdStore>(aClient, std::move(aOptions));
  return [store](StoreRequest aRequest) -> Awaitable<Result<StoreReply>> {
    return store->Call(std::move(aRequest));
  };
}

} // namespace agatetide::clients
