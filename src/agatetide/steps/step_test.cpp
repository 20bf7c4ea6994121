#include "agatetide/coordination/recorded_bytes.hpp"
#include "agatetide/steps/step.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using agatetide::coordination::ExpectRecordedBytes;
using namespace agatetide::steps;

namespace {

StepItem Item()
{
  StepItem item;
  item.mId = "i";
  item.mPath = "/p";
  item.mHeaders = { { "n", "v" } };
  item.mBody = "b";
  item.mGroup = "g";
  item.mExpectedTokens = 3;
  item.mScoring = ScoringCall{ "s", "h", "/q", "c" };
  return item;
}

} // namespace

// Guards against hosts of two builds that cannot pass steps on, or take them
// over.
Test(step, the_form_of_submissions_and_records_does_not_change)
{
  StepSubmission submission;
  submission.mId = "id";
  submission.mAccount = "a";
  submission.mHttpHost = "h";
  submission.mPath = "/s";
  submission.mModel = "m";
  submission.mMinVersion = 2;
  submission.mDesiredGroups = 3;
  submission.mItems = { Item() };
  ExpectRecordedBytes(
    EncodeSubmission(submission),
    "010200000000000000696401000000000000006101000000000000006802"
    "000000000000002f7301000000000000006d020000000000000003000000"
    "010000000000000001000000000000006902000000000000002f70010000"
    "000000000001000000000000006e01000000000000007601000000000000"
    "006201000000000000006703000000010000000000000001000000000000"
    "007301000000000000006802000000000000002f71010000000000000063");
  StepRecord record;
  record.mId = "id";
  record.mAccount = "a";
  record.mHttpHost = "h";
  record.mPath = "/s";
  record.mModel = "m";
  record.mMinVersion = 2;
  record.mDesiredGroups = 3;
  record.mItemCount = 4;
  record.mExpectedTokens = 5;
  record.mChunkCount = 6;
  record.mSubmittedMs = 7;
  record.mOwner = "o";
  record.mRegion = "r";
  record.mEnded = true;
  ExpectRecordedBytes(
    EncodeRecord(record),
    "010200000000000000696401000000000000006101000000000000006802"
    "000000000000002f7301000000000000006d020000000000000003000000"
    "040000000500000000000000060000000700000000000000010000000000"
    "00006f01000000000000007201");
}

// Guards against items, results or texts that another build cannot read.
Test(step, the_form_of_stored_items_and_results_does_not_change)
{
  ExpectRecordedBytes(
    EncodeItems({ Item() }),
    "01010000000000000001000000000000006902000000000000002f700100"
    "00000000000001000000000000006e010000000000000076010000000000"
    "000062010000000000000067030000000100000000000000010000000000"
    "00007301000000000000006802000000000000002f710100000000000000"
    "63");
  ItemResult result;
  result.mId = "i";
  result.mState = ItemState::Abandoned;
  result.mText = "t";
  result.mVersions = { 1, 2 };
  result.mScore = "s";
  ExpectRecordedBytes(
    EncodeResults({ result }),
    "010100000000000000010000000000000069010100000000000000740200"
    "000000000000010000000000000002000000000000000100000000000000"
    "73");
  PartialSample partial;
  partial.mId = "i";
  partial.mEvents = { "e" };
  partial.mVersions = { 3 };
  partial.mSoftwareVersion = "v1";
  ExpectRecordedBytes(
    EncodePartials({ partial }),
    "010100000000000000010000000000000069010000000000000001000000"
    "000000006501000000000000000300000000000000020000000000000076"
    "31");
}
