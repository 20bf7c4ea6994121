#include "agatetide/coordination/admission.hpp"

#include "agatetide/base/encoding.hpp"

#include <iomanip>
#include <sstream>

namespace agatetide::coordination {

namespace {

constexpr std::string_view kPrefix = "agatetide/admission/";

std::string RecordKey(const AdmissionKey& aKey)
{
  // Request ids come from callers and may contain any byte.
  return std::string(kPrefix) + aKey.mAccount + "/" +
         HexEncode(aKey.mRequestId);
}

std::string EncodeRecord(const AdmissionRecord& aRecord)
{
  std::ostringstream text;
  text << std::quoted(aRecord.mDaemon) << ' ' << aRecord.mIncarnation << ' '
       << std::quoted(aRecord.mNonce) << ' ' << aRecord.mFingerprint;
  return text.str();
}

AdmissionRecord DecodeRecord(const std::string& aText)
{
  AdmissionRecord record;
  std::istringstream text(aText);
  text >> std::quoted(record.mDaemon) >> record.mIncarnation >>
    std::quoted(record.mNonce) >> record.mFingerprint;
  return record;
}

Admission AdmissionFromEntry(const StoreEntry& aEntry,
                             const AdmissionRecord& aOwn)
{
  Admission admission;
  admission.mRecord = DecodeRecord(aEntry.mValue);
  if (admission.mRecord.mNonce == aOwn.mNonce) {
    admission.mOutcome = AdmissionOutcome::Admitted;
  }
  return admission;
}

Error StoreUnavailable()
{
  return { ErrorKind::Unavailable,
           "the platform store did not record the admission of this request",
           "send the request again with the same request id",
           Execution::NotRun };
}

} // namespace

Awaitable<Result<Admission>> Admit(StoreCall aStore,
                                   AdmissionKey aKey,
                                   AdmissionRecord aRecord,
                                   int64_t aLeaseId)
{
  if (aKey.mAccount.empty() || aKey.mRequestId.empty()) {
    co_return Error{
      ErrorKind::InvalidArgument,
      "a non-idempotent request has no request id",
      "send a unique x-request-id header and repeat it in retries"
    };
  }
  const std::string key = RecordKey(aKey);
  TransactionRequest create;
  create.mCompares.push_back({ key, 0 });
  create.mPuts.push_back({ key, EncodeRecord(aRecord), aLeaseId });
  create.mReadOnFailure.push_back(key);
  auto created = co_await aStore(create);
  if (created.has_value() && created->mSucceeded) {
    co_return Admission{ AdmissionOutcome::Admitted, aRecord };
  }
  if (created.has_value() && !created->mEntries.empty()) {
    co_return AdmissionFromEntry(created->mEntries.front(), aRecord);
  }
  if (created.has_error() &&
      created.error().mKind != ErrorKind::OutcomeUnknown) {
    co_return StoreUnavailable();
  }
  auto stored = co_await ReadKey(aStore, key);
  if (stored.has_error() || !stored->has_value()) {
    // The create request may still take effect after this read.
    co_return Admission{ AdmissionOutcome::Undecided, aRecord };
  }
  co_return AdmissionFromEntry(**stored, aRecord);
}

} // namespace agatetide::coordination
