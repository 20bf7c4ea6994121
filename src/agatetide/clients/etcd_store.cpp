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

Error MalformedMessage(std::string_view aReason)
{
  return { ErrorKind::DataLoss,
           "malformed message of the platform store: " + std::string(aReason),
           "check that the store endpoint is a JSON gateway of etcd v3",
           Execution::Unknown };
}

/// Reads an integer field. The gateway encodes 64-bit integers as strings and
/// omits fields that are zero.
int64_t IntegerField(const json& aObject, const char* aName)
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

/// Reads a base64-encoded field; empty if it is missing.
std::string BytesField(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end()
           ? std::string()
           : Base64Decode(found->get_ref<const std::string&>()).value();
}

json EncodeRange(const RangeRequest& aRange)
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

json EncodeTransaction(const TransactionRequest& aTransaction)
{
  json body = { { "compare", json::array() },
                { "success", json::array() },
                { "failure", json::array() } };
  for (const StoreCompare& compare : aTransaction.mCompares) {
    body["compare"].push_back(
      { { "key", Base64Encode(compare.mKey) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.mModRevision) } });
  }
  for (const StoreDelete& erase : aTransaction.mDeletes) {
    body["success"].push_back(
      { { "request_delete_range", { { "key", Base64Encode(erase.mKey) } } } });
  }
  for (const StorePut& put : aTransaction.mPuts) {
    json request = { { "key", Base64Encode(put.mKey) },
                     { "value", Base64Encode(put.mValue) } };
    if (put.mLeaseId != 0) {
      request["lease"] = std::to_string(put.mLeaseId);
    }
    body["success"].push_back({ { "request_put", request } });
  }
  for (const std::string& key : aTransaction.mReadOnFailure) {
    body["failure"].push_back(
      { { "request_range", { { "key", Base64Encode(key) } } } });
  }
  return body;
}

StoreEntry DecodeEntry(const json& aEntry)
{
  return { BytesField(aEntry, "key"),
           BytesField(aEntry, "value"),
           IntegerField(aEntry, "create_revision"),
           IntegerField(aEntry, "mod_revision"),
           IntegerField(aEntry, "lease") };
}

void AppendEntries(const json& aRange, std::vector<StoreEntry>& aEntries)
{
  for (const json& entry : aRange.value("kvs", json::array())) {
    aEntries.push_back(DecodeEntry(entry));
  }
}

json EncodeEntry(const StoreEntry& aEntry)
{
  return { { "key", Base64Encode(aEntry.mKey) },
           { "value", Base64Encode(aEntry.mValue) },
           { "create_revision", std::to_string(aEntry.mCreateRevision) },
           { "mod_revision", std::to_string(aEntry.mModRevision) },
           { "lease", std::to_string(aEntry.mLeaseId) } };
}

TransactionRequest DecodeTransaction(const json& aBody)
{
  TransactionRequest transaction;
  for (const json& compare : aBody.value("compare", json::array())) {
    transaction.mCompares.push_back(
      { BytesField(compare, "key"), IntegerField(compare, "mod_revision") });
  }
  for (const json& operation : aBody.value("success", json::array())) {
    if (operation.contains("request_put")) {
      const json& put = operation["request_put"];
      transaction.mPuts.push_back({ BytesField(put, "key"),
                                    BytesField(put, "value"),
                                    IntegerField(put, "lease") });
    } else if (operation.contains("request_delete_range")) {
      transaction.mDeletes.push_back(
        { BytesField(operation["request_delete_range"], "key") });
    }
  }
  for (const json& operation : aBody.value("failure", json::array())) {
    transaction.mReadOnFailure.push_back(
      BytesField(operation.at("request_range"), "key"));
  }
  return transaction;
}

StoreReply DecodeReply(const json& aBody)
{
  // Replies to keep-alive requests are wrapped in {"result": {...}}.
  const json& body = aBody.contains("result") ? aBody["result"] : aBody;
  StoreReply reply;
  if (body.contains("header")) {
    reply.mRevision = IntegerField(body["header"], "revision");
  }
  reply.mSucceeded = body.value("succeeded", false);
  reply.mLeaseId = IntegerField(body, "ID");
  reply.mTtlSeconds = IntegerField(body, "TTL");
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
    const GatewayRequest encoded = EncodeGatewayRequest(aRequest);
    http::CallOptions options;
    options.mDeadline = std::chrono::steady_clock::now() + mOptions.mTimeout;
    Error lastError;
    for (size_t attempt = 0; attempt < mOptions.mEndpoints.size(); ++attempt) {
      http::Request request;
      request.mTarget = encoded.mPath;
      request.mHeaders.push_back({ "content-type", "application/json" });
      request.mBody = encoded.mBody;
      auto response = co_await mClient.Call(
        mOptions.mEndpoints[mCurrentEndpoint], std::move(request), options);
      if (response.has_value()) {
        co_return DecodeResponse(*response, IsRead(aRequest));
      }
      lastError = response.error();
      mCurrentEndpoint = (mCurrentEndpoint + 1) % mOptions.mEndpoints.size();
      if (lastError.mExecution != Execution::NotRun && !IsRead(aRequest)) {
        lastError.mKind = ErrorKind::OutcomeUnknown;
        co_return lastError;
      }
    }
    lastError.mKind = ErrorKind::Unavailable;
    lastError.mExecution = Execution::NotRun;
    co_return lastError;
  }

private:
  static Result<StoreReply> DecodeResponse(const http::Response& aResponse,
                                           bool aIsRead)
  {
    if (aResponse.mStatus == 200) {
      return DecodeGatewayReply(aResponse.mBody);
    }
    return Error{ aIsRead ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown,
                  "the platform store responded with HTTP status " +
                    std::to_string(aResponse.mStatus),
                  "check the state of the platform store",
                  aIsRead ? Execution::NotRun : Execution::Unknown };
  }

  http::Client& mClient;
  EtcdStoreOptions mOptions;
  /// Index of the endpoint that is used next.
  size_t mCurrentEndpoint = 0;
};

} // namespace

GatewayRequest EncodeGatewayRequest(const StoreRequest& aRequest)
{
  if (const auto* range = std::get_if<RangeRequest>(&aRequest)) {
    return { kRangePath, EncodeRange(*range).dump() };
  }
  if (const auto* transaction = std::get_if<TransactionRequest>(&aRequest)) {
    return { kTxnPath, EncodeTransaction(*transaction).dump() };
  }
  if (const auto* grant = std::get_if<LeaseGrantRequest>(&aRequest)) {
    return { kGrantPath,
             json{ { "TTL", std::to_string(grant->mTtlSeconds) } }.dump() };
  }
  if (const auto* keep = std::get_if<LeaseKeepAliveRequest>(&aRequest)) {
    return { kKeepAlivePath,
             json{ { "ID", std::to_string(keep->mLeaseId) } }.dump() };
  }
  return {
    kRevokePath,
    json{ { "ID",
            std::to_string(std::get<LeaseRevokeRequest>(aRequest).mLeaseId) } }
      .dump()
  };
}

Result<StoreReply> DecodeGatewayReply(std::string_view aBody)
{
  try {
    return DecodeReply(json::parse(aBody));
  } catch (const std::exception& error) {
    return MalformedMessage(error.what());
  }
}

Result<StoreRequest> DecodeGatewayRequest(std::string_view aPath,
                                          std::string_view aBody)
{
  try {
    const json body = json::parse(aBody);
    if (aPath == kRangePath) {
      return StoreRequest(RangeRequest{ BytesField(body, "key"),
                                        BytesField(body, "range_end"),
                                        IntegerField(body, "limit") });
    }
    if (aPath == kTxnPath) {
      return StoreRequest(DecodeTransaction(body));
    }
    if (aPath == kGrantPath) {
      return StoreRequest(LeaseGrantRequest{ IntegerField(body, "TTL") });
    }
    if (aPath == kKeepAlivePath) {
      return StoreRequest(LeaseKeepAliveRequest{ IntegerField(body, "ID") });
    }
    if (aPath == kRevokePath) {
      return StoreRequest(LeaseRevokeRequest{ IntegerField(body, "ID") });
    }
    return MalformedMessage("unknown path");
  } catch (const std::exception& error) {
    return MalformedMessage(error.what());
  }
}

std::string EncodeGatewayReply(const StoreRequest& aRequest,
                               const StoreReply& aReply)
{
  json body = { { "header",
                  { { "revision", std::to_string(aReply.mRevision) } } } };
  json entries = json::array();
  for (const StoreEntry& entry : aReply.mEntries) {
    entries.push_back(EncodeEntry(entry));
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
    body["ID"] = std::to_string(aReply.mLeaseId);
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
