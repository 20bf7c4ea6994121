#pragma once

#include "agatetide/coordination/membership.hpp"

/// The order of the states of a member. Functions without state; thread-safe.
namespace agatetide::coordination {

/// @brief Whether aNew replaces aOld: a higher incarnation always does; within
/// an incarnation, only a later state does (alive, suspect, dead, left), or the
/// same state with draining set. Precondition: both are about the same address.
bool Replaces(const MemberUpdate& aNew, const MemberUpdate& aOld);

/// @brief Whether a member is alive or suspected.
bool IsLive(const Member& aMember);

} // namespace agatetide::coordination
