#include "agatetide/coordination/recorded_bytes.hpp"
#include "agatetide/entry/relay_messages.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using agatetide::coordination::ExpectRecordedBytes;
using namespace agatetide::entry;

// Guards against hosts of two builds that cannot send attempts for each other.
Test(relay_messages, the_form_of_attempts_does_not_change)
{
  RelayRequest request;
  request.mReplica = { "10.0.0.1", 80 };
  request.mRequest.mId = "i";
  request.mRequest.mTarget = "/t";
  request.mRequest.mHeaders = { { "n", "v" } };
  request.mRequest.mBody = "b";
  request.mRequest.mAccount = "a";
  request.mRequest.mReplicaId = "r";
  request.mRequest.mVersion = 4;
  request.mRequest.mFreshConnection = true;
  request.mRequest.mResumeAfter = 5;
  request.mRemainingTime = Milliseconds(6);
  request.mIsStream = true;
  request.mIdleTimeout = Milliseconds(7);
  ExpectRecordedBytes(
    Encode(request),
    "01080000000000000031302e302e302e3150000100000000000000690400"
    "000000000000504f535402000000000000002f7401000000000000000100"
    "0000000000006e0100000000000000760100000000000000620100000000"
    "000000610100000000000000720104000000000000000101050000000600"
    "000000000000010700000000000000");
}

// Guards against an attempt that reaches another target, replica or account
// than the one meant when it is passed on.
Test(relay_messages, texts_of_attempts_come_back)
{
  std::string text;
  for (int byte = 0; byte < 256; ++byte) {
    text += static_cast<char>(byte);
  }
  RelayRequest request;
  request.mRequest.mId = "i" + text;
  request.mRequest.mMethod = "m" + text;
  request.mRequest.mTarget = "t" + text;
  request.mRequest.mHeaders = { { "n" + text, "v" + text } };
  request.mRequest.mBody = "b" + text;
  request.mRequest.mAccount = "a" + text;
  request.mRequest.mReplicaId = "r" + text;
  const auto decoded = DecodeRelayRequest(Encode(request));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded->mRequest.mId, "i" + text);
  cr_expect_eq(decoded->mRequest.mMethod, "m" + text);
  cr_expect_eq(decoded->mRequest.mTarget, "t" + text);
  cr_assert_eq(decoded->mRequest.mHeaders.size(), 1);
  cr_expect_eq(decoded->mRequest.mHeaders.front().mName, "n" + text);
  cr_expect_eq(decoded->mRequest.mHeaders.front().mValue, "v" + text);
  cr_expect_eq(std::string(decoded->mRequest.mBody), "b" + text);
  cr_expect_eq(decoded->mRequest.mAccount, "a" + text);
  cr_expect_eq(decoded->mRequest.mReplicaId, "r" + text);
}

// Guards against events and responses that the other build cannot read.
Test(relay_messages, the_form_of_frames_does_not_change)
{
  RelayFrame event;
  event.mReport = request::ReplicaReport{ 2.5, {}, true };
  event.mEvent = request::StreamEvent{ 1, "d", 3 };
  event.mDeclined =
    Error{ ErrorKind::Unavailable, "m", "r", Execution::NotRun };
  ExpectRecordedBytes(
    EncodeFrame(event),
    "000000a50101010000000000000440010101000000010000000000000064"
    "010300000000000000010b00000000000000756e617661696c61626c6501"
    "000000000000006d01000000000000007207000000000000006e6f745f72"
    "756e00000000000000000000000000000000000000000000000000000000"
    "000000000000000000000000000000000000000000000000000000000000"
    "00000000000000000000000000000000000000");
  request::UpstreamResponse response;
  response.mStatus = 200;
  response.mHeaders = { { "n", "v" } };
  response.mBody = "b";
  response.mNotRun = true;
  response.mMisdirected = true;
  response.mSignature = "s";
  response.mLoad = request::ReportedLoad{ 1, 2, 3 };
  RelayFrame last;
  last.mResult = response;
  ExpectRecordedBytes(
    EncodeFrame(last),
    "000000a40100000000000000000000000000000000000000000000000000"
    "000000000000000000000000000000000000000000000000000000000000"
    "000000000000000000000000000000000000000000000000000000000000"
    "000000000000000000000000000001c80000000100000000000000010000"
    "00000000006e010000000000000076010000000000000062010101000000"
    "000000007301010000000200000003000000");
}

// Guards against another daemon that sends a frame without end, or many of
// them at once, and so exhausts the memory of this one.
Test(relay_messages, frames_take_limited_memory)
{
  constexpr size_t kMaxFrameBytes = 10000;
  const RelayFrameReader::Sink accept = [](const RelayFrame&) { return true; };
  const std::string longFrame("\x7f\xff\xff\xff", 4);
  const std::string piece(1000, 'a');
  const auto budget = std::make_shared<MemoryBudget>(kMaxFrameBytes);
  RelayFrameReader tooLong(kMaxFrameBytes, budget);
  cr_expect(!tooLong.Feed(longFrame, accept));
  const std::string validLength("\x00\x00\x23\x28", 4);
  RelayFrameReader first(kMaxFrameBytes, budget);
  RelayFrameReader second(kMaxFrameBytes, budget);
  bool fits =
    first.Feed(validLength, accept) && second.Feed(validLength, accept);
  int fed = 0;
  while (fits) {
    fits = first.Feed(piece, accept) && second.Feed(piece, accept);
    ++fed;
  }
  cr_expect(fed > 1 && fed < 9, "%d pieces each", fed);
}
