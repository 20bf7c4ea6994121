#include "agatetide/coordination/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

/// The part of Membership that stores gossip records and sends datagrams, which
/// carry queued updates and records.
namespace agatetide::coordination {

namespace {

constexpr uint64_t kMaxRecordLifetimeMs = uint64_t{ 7 } * 24 * 3600 * 1000;

std::string RecordKey(const std::string& aTopic, const std::string& aKey)
{
  return aTopic + "\n" + aKey;
}

} // namespace

void Membership::Publish(GossipRecord aRecord)
{
  MergeRecord(aRecord, true);
}

bool Membership::MergeRecord(const GossipRecord& aRecord, bool aAnnounce)
{
  const std::string key = RecordKey(aRecord.mTopic, aRecord.mKey);
  const auto found = mRecords.find(key);
  const bool known = found != mRecords.end();
  if ((known && found->second.mSequence >= aRecord.mSequence) ||
      (!known && mRecords.size() >= mOptions.mMaxRecords) ||
      aRecord.mLifetimeMs == 0) {
    return false;
  }
  mRecords[key] = aRecord;
  ++mRecordsRevision;
  mRecordExpiry[key] = mClock() + Milliseconds(std::min(aRecord.mLifetimeMs,
                                                        kMaxRecordLifetimeMs));
  EraseQueued(mRecordQueue, key);
  if (aAnnounce) {
    mRecordQueue.push_front({ key, 0 });
  }
  return !known;
}

/// Returns a record with its remaining lifetime.
GossipRecord Membership::RecordToSend(const std::string& aKey) const
{
  GossipRecord record = mRecords.at(aKey);
  const Duration remaining = mRecordExpiry.at(aKey) - mClock();
  record.mLifetimeMs = static_cast<uint64_t>(std::max<int64_t>(
    0, std::chrono::duration_cast<Milliseconds>(remaining).count()));
  return record;
}

const GossipRecord* Membership::FindRecord(const std::string& aTopic,
                                           const std::string& aKey) const
{
  const auto found = mRecords.find(RecordKey(aTopic, aKey));
  return found == mRecords.end() ? nullptr : &found->second;
}

std::vector<GossipRecord> Membership::Records(const std::string& aTopic) const
{
  std::vector<GossipRecord> records;
  for (const auto& [key, record] : mRecords) {
    if (record.mTopic == aTopic) {
      records.push_back(record);
    }
  }
  return records;
}

void Membership::QueueUpdate(const std::string& aAddress)
{
  EraseQueued(mUpdateQueue, aAddress);
  mUpdateQueue.push_front({ aAddress, 0 });
}

void Membership::EraseQueued(std::deque<QueuedItem>& aQueue,
                             const std::string& aKey)
{
  std::erase_if(aQueue,
                [&](const QueuedItem& aItem) { return aItem.mKey == aKey; });
}

/// How often each member sends an update on. This reaches nearly all members;
/// anti-entropy covers the rest.
unsigned Membership::TransmitLimit() const
{
  return 3 + static_cast<unsigned>(std::bit_width(mMembers.size() + 1));
}

void Membership::Send(const std::string& aAddress, Datagram aDatagram)
{
  // Tell a suspect or dead member about the report in each datagram; otherwise
  // it could not refute the report once its gossip has ended.
  const auto target = mMembers.find(aAddress);
  if (target != mMembers.end() &&
      target->second.mInfo.mState != MemberState::Alive &&
      target->second.mInfo.mIncarnation != 0) {
    aDatagram.mUpdates.push_back(target->second.mInfo);
  }
  const unsigned limit = TransmitLimit();
  const auto appendQueued =
    [&](std::deque<QueuedItem>& aQueue, unsigned aMaxItems, auto aAppend) {
      for (QueuedItem& item : aQueue) {
        if (aMaxItems == 0) {
          break;
        }
        --aMaxItems;
        ++item.mSendCount;
        aAppend(item.mKey);
      }
      std::stable_sort(aQueue.begin(),
                       aQueue.end(),
                       [](const QueuedItem& aLeft, const QueuedItem& aRight) {
                         return aLeft.mSendCount < aRight.mSendCount;
                       });
      while (!aQueue.empty() && aQueue.back().mSendCount >= limit) {
        aQueue.pop_back();
      }
    };
  // A member that is wrongly reported as suspect or dead can refute this only
  // if it is told; after a partition, the queued updates have been dropped.
  const auto receiver = mMembers.find(aAddress);
  if (receiver != mMembers.end() &&
      receiver->second.mInfo.mState != MemberState::Alive) {
    aDatagram.mUpdates.push_back(receiver->second.mInfo);
  }
  appendQueued(
    mUpdateQueue, mOptions.mMaxUpdatesPerMessage, [&](const std::string& aKey) {
      const auto found = mMembers.find(aKey);
      if (found != mMembers.end()) {
        aDatagram.mUpdates.push_back(found->second.mInfo);
      }
    });
  appendQueued(
    mRecordQueue, mOptions.mMaxRecordsPerMessage, [&](const std::string& aKey) {
      aDatagram.mRecords.push_back(RecordToSend(aKey));
    });
  SendWithoutGossip(aAddress, std::move(aDatagram));
}

void Membership::SendWithoutGossip(const std::string& aAddress,
                                   Datagram aDatagram)
{
  aDatagram.mSender = mSelf;
  mHooks.mFillConfigFields(aDatagram);
  mHooks.mSend(aAddress, aDatagram);
}

} // namespace agatetide::coordination
