#include "agatetide/coordination/recorded_bytes.hpp"
#include "agatetide/coordination/store_messages.hpp"
#include "agatetide/coordination/watch_messages.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

// Guards against hosts of two builds that cannot pass changes of the store on.
Test(peer_messages, the_form_of_watches_does_not_change)
{
  ExpectRecordedBytes(Encode(PeerWatchRequest{ "p/", 7, 1500 }),
                      "010200000000000000702f0700000000000000dc05000000000000");
  PeerWatchReply reply;
  reply.mChanges.push_back({ { "k", "v", 1, 2, 3 }, true });
  reply.mRevision = 9;
  reply.mWaitedMs = 4;
  reply.mStalenessMs = 5;
  ExpectRecordedBytes(
    Encode(reply),
    "01010000000000000001000000000000006b010000000000000076010000"
    "000000000002000000000000000300000000000000010900000000000000"
    "04000000000000000500000000000000");
}

// Guards against hosts of two builds that cannot call the store for each other.
Test(peer_messages, the_form_of_store_calls_does_not_change)
{
  TransactionRequest transaction;
  transaction.mCompares = { { "c", 4 } };
  transaction.mPuts = { { "k", "v", 5 } };
  transaction.mDeletes = { { "d" } };
  transaction.mReadOnFailure = { "r" };
  ExpectRecordedBytes(
    Encode(StoreRequest(RangeRequest{ "a", "b", 3 })),
    "00010100000000000000610100000000000000620300000000000000");
  ExpectRecordedBytes(
    Encode(StoreRequest(transaction)),
    "010101000000000000000100000000000000630400000000000000010000"
    "000000000001000000000000006b01000000000000007605000000000000"
    "000100000000000000010000000000000064010000000000000001000000"
    "0000000072");
  ExpectRecordedBytes(Encode(StoreRequest(LeaseGrantRequest{ 6 })),
                      "02010600000000000000");
  ExpectRecordedBytes(Encode(StoreRequest(LeaseKeepAliveRequest{ 7 })),
                      "03010700000000000000");
  ExpectRecordedBytes(Encode(StoreRequest(LeaseRevokeRequest{ 8 })),
                      "04010800000000000000");
  StoreReply reply;
  reply.mRevision = 1;
  reply.mSucceeded = true;
  reply.mEntries = { { "k", "v", 1, 2, 3 } };
  reply.mLeaseId = 4;
  reply.mTtlSeconds = 5;
  ExpectRecordedBytes(
    Encode(reply),
    "01010000000000000001010000000000000001000000000000006b010000"
    "000000000076010000000000000002000000000000000300000000000000"
    "04000000000000000500000000000000");
}
