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

/// @brief Who may run the request. The nonce tells attempts of one daemon
/// apart.
struct AdmissionRecord
{
  std::string mDaemon;
  uint64_t mIncarnation = 0;
  std::string mNonce;
  uint64_t mFingerprint = 0;
};

enum class AdmissionOutcome
{
  /// This attempt won and may dispatch.
  Admitted,
  /// Another attempt holds the record; ask its daemon for the answer.
  Duplicate,
  /// The store may hold this attempt's record, but it cannot be asked. The
  /// attempt must not dispatch; a later one with the same nonce may win.
  Undecided,
};

struct Admission
{
  AdmissionOutcome mOutcome = AdmissionOutcome::Duplicate;
  /// The record that stands.
  AdmissionRecord mRecord;
};

/// @brief Creates the admission record of a request if there is none.
///
/// A dispatch may follow only Admitted. After a lost answer the record is
/// read back and recognised by its nonce. aLease bounds the retention.
/// Errors: Unavailable (not run) when the store did not take the record;
/// InvalidArgument for an empty account or request id.
Awaitable<Result<Admission>> Admit(StoreCall aStore,
                                   AdmissionKey aKey,
                                   AdmissionRecord aRecord,
                                   int64_t aLease);

} // namespace agatetide::coordination
