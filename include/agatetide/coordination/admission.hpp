#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/store.hpp"

#include <string>

namespace agatetide::coordination {

/// @brief Identifies one non-idempotent request of one client account.
struct AdmissionKey
{
  std::string mAccount;
  std::string mRequestId;
};

/// @brief The attempt that may run the request. The nonce distinguishes
/// attempts of one daemon.
struct AdmissionRecord
{
  std::string mDaemon;
  uint64_t mIncarnation = 0;
  std::string mNonce;
  /// Hash of the request.
  uint64_t mFingerprint = 0;
};

enum class AdmissionOutcome
{
  /// The record is this attempt's; it may dispatch the request.
  Admitted,
  /// The record is another attempt's; its daemon has the response to
  /// the caller.
  Duplicate,
  /// The store's reply was lost, and the store may have or may still create
  /// this attempt's record. The attempt must not dispatch; a later one with the
  /// same nonce may be admitted.
  Undecided,
};

struct Admission
{
  AdmissionOutcome mOutcome = AdmissionOutcome::Duplicate;
  /// The stored record, or this attempt's own if the outcome is Undecided.
  AdmissionRecord mRecord;
};

/// @brief Creates the admission record of a request if there is none, so that
/// at most one attempt dispatches the request.
///
/// Dispatch only after Admitted. If the store's reply is lost, the record is
/// read back and recognised by its nonce. The record is attached to the store
/// lease aLeaseId and removed when that expires; 0 keeps it.
/// Errors: Unavailable (not run) if the store did not create the record;
/// InvalidArgument for an empty account or request id.
Awaitable<Result<Admission>> Admit(StoreCall aStore,
                                   AdmissionKey aKey,
                                   AdmissionRecord aRecord,
                                   int64_t aLeaseId);

} // namespace agatetide::coordination
