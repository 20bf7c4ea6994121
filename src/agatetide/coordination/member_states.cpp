#include "agatetide/coordination/member_states.hpp"

namespace agatetide::coordination {

bool Replaces(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aNew.mIncarnation != aOld.mIncarnation) {
    return aNew.mIncarnation > aOld.mIncarnation;
  }
  if (aNew.mState != aOld.mState) {
    return aNew.mState > aOld.mState;
  }
  return aNew.mDraining && !aOld.mDraining;
}

bool IsLive(const Member& aMember)
{
  return aMember.mInfo.mState == MemberState::Alive ||
         aMember.mInfo.mState == MemberState::Suspect;
}

} // namespace agatetide::coordination
