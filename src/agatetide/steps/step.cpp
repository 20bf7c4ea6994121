#include "agatetide/steps/step.hpp"

#include "agatetide/steps/step_archive.hpp"

namespace agatetide::steps {

template<class Archive>
void serialize(Archive& aArchive, StepSubmission& aSubmission)
{
  aArchive(aSubmission.mId,
           aSubmission.mAccount,
           aSubmission.mHttpHost,
           aSubmission.mPath,
           aSubmission.mModel,
           aSubmission.mMinVersion,
           aSubmission.mDesiredGroups,
           aSubmission.mItems);
}

template<class Archive>
void serialize(Archive& aArchive, StepRecord& aRecord)
{
  aArchive(aRecord.mId,
           aRecord.mAccount,
           aRecord.mHttpHost,
           aRecord.mPath,
           aRecord.mModel,
           aRecord.mMinVersion,
           aRecord.mDesiredGroups,
           aRecord.mItemCount,
           aRecord.mExpectedTokens,
           aRecord.mChunkCount,
           aRecord.mSubmittedMs,
           aRecord.mOwner,
           aRecord.mRegion,
           aRecord.mEnded);
}

template<class Archive>
void serialize(Archive& aArchive, ItemResult& aResult)
{
  aArchive(aResult.mId,
           aResult.mState,
           aResult.mText,
           aResult.mVersions,
           aResult.mScore);
}

template<class Archive>
void serialize(Archive& aArchive, PartialSample& aSample)
{
  aArchive(
    aSample.mId, aSample.mEvents, aSample.mVersions, aSample.mSoftwareVersion);
}

using coordination::EncodePortable;

namespace {

template<class Value>
Result<Value> Decode(std::string_view aBytes, std::string_view aWhat)
{
  return coordination::DecodePortable<Value>(
    aBytes, aWhat, ErrorKind::DataLoss);
}

} // namespace

size_t SizeInBytes(std::span<const StepItem> aItems)
{
  size_t bytes = 0;
  for (const StepItem& item : aItems) {
    bytes += item.mBody.size();
    bytes += item.mScoring ? item.mScoring->mBody.size() : 0;
  }
  return bytes;
}

size_t MemoryBytes(std::span<const StepItem> aItems)
{
  size_t bytes = SizeInBytes(aItems);
  for (const StepItem& item : aItems) {
    bytes += kItemOverheadBytes + item.mPath.size() + item.mGroup.size();
    for (const http::Header& header : item.mHeaders) {
      bytes += header.mName.size() + header.mValue.size();
    }
    bytes += item.mScoring ? item.mScoring->mPath.size() : 0;
  }
  return bytes;
}

MemoryReservation CountBodies(std::span<StepItem> aItems,
                              MemoryReservation aMemory)
{
  for (StepItem& item : aItems) {
    item.mBody.SetMemory(aMemory.Split(item.mBody.size()));
    if (item.mScoring) {
      SharedBytes& body = item.mScoring->mBody;
      body.SetMemory(aMemory.Split(body.size()));
    }
  }
  return aMemory;
}

std::string OwnerName(std::string_view aHost, std::string_view aIncarnation)
{
  return std::string(aHost) + "#" + std::string(aIncarnation);
}

std::string EncodeSubmission(const StepSubmission& aSubmission)
{
  return EncodePortable(aSubmission, MemoryBytes(aSubmission.mItems));
}

std::string EncodeRecord(const StepRecord& aRecord)
{
  return EncodePortable(aRecord);
}

std::string EncodeItems(const std::vector<StepItem>& aItems)
{
  return EncodePortable(aItems);
}

std::string EncodeResults(const std::vector<ItemResult>& aResults)
{
  return EncodePortable(aResults);
}

std::string EncodePartials(const std::vector<PartialSample>& aSamples)
{
  return EncodePortable(aSamples);
}

Result<StepSubmission> DecodeSubmission(std::string_view aBytes)
{
  return Decode<StepSubmission>(aBytes, "the forwarded step submission");
}

Result<StepRecord> DecodeRecord(std::string_view aBytes)
{
  return Decode<StepRecord>(aBytes, "the stored step record");
}

Result<std::vector<StepItem>> DecodeItems(std::string_view aBytes)
{
  return Decode<std::vector<StepItem>>(aBytes, "the stored step items");
}

Result<std::vector<ItemResult>> DecodeResults(std::string_view aBytes)
{
  return Decode<std::vector<ItemResult>>(aBytes, "the stored step results");
}

Result<std::vector<PartialSample>> DecodePartials(std::string_view aBytes)
{
  return Decode<std::vector<PartialSample>>(aBytes,
                                            "the stored partial samples");
}

} // namespace agatetide::steps
