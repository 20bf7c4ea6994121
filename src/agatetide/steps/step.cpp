#include "agatetide/steps/step.hpp"

#include "agatetide/coordination/input_archive.hpp"

#include <sstream>

namespace agatetide::http {

template<class Archive>
void serialize(Archive& aArchive, Header& aHeader)
{
  aArchive(aHeader.mName, aHeader.mValue);
}

} // namespace agatetide::http

namespace agatetide::steps {

template<class Archive>
void serialize(Archive& aArchive, ScoringCall& aCall)
{
  aArchive(aCall.mId, aCall.mHost, aCall.mPath, aCall.mBody);
}

template<class Archive>
void serialize(Archive& aArchive, StepItem& aItem)
{
  // As a list of none or one: the bounded input archive has no optionals.
  std::vector<ScoringCall> scoring;
  if (aItem.mScoring) {
    scoring.push_back(*aItem.mScoring);
  }
  aArchive(aItem.mId,
           aItem.mPath,
           aItem.mHeaders,
           aItem.mBody,
           aItem.mGroup,
           aItem.mExpectedTokens,
           scoring);
  if (!scoring.empty()) {
    aItem.mScoring = std::move(scoring.front());
  }
}

template<class Archive>
void serialize(Archive& aArchive, StepRecord& aRecord)
{
  aArchive(aRecord.mId,
           aRecord.mAccount,
           aRecord.mHost,
           aRecord.mPath,
           aRecord.mModel,
           aRecord.mMinVersion,
           aRecord.mDesired,
           aRecord.mItems,
           aRecord.mExpectedTokens,
           aRecord.mChunks,
           aRecord.mSubmitted,
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
  aArchive(aSample.mId, aSample.mEvents, aSample.mVersions);
}

namespace {

template<class Value>
std::string Encode(const Value& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
}

template<class Value>
Result<Value> Decode(std::string_view aBytes, const char* aWhat)
{
  try {
    coordination::InputArchive archive(aBytes);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception& error) {
    return Error{ ErrorKind::DataLoss,
                  std::string("stored ") + aWhat +
                    " cannot be read: " + error.what(),
                  "check that all daemons run the same version" };
  }
}

} // namespace

std::string OwnerName(std::string_view aHost, std::string_view aIncarnation)
{
  return std::string(aHost) + "#" + std::string(aIncarnation);
}

std::string EncodeRecord(const StepRecord& aRecord)
{
  return Encode(aRecord);
}

std::string EncodeItems(const std::vector<StepItem>& aItems)
{
  return Encode(aItems);
}

std::string EncodeResults(const std::vector<ItemResult>& aResults)
{
  return Encode(aResults);
}

std::string EncodePartials(const std::vector<PartialSample>& aSamples)
{
  return Encode(aSamples);
}

Result<StepRecord> DecodeRecord(std::string_view aBytes)
{
  return Decode<StepRecord>(aBytes, "step record");
}

Result<std::vector<StepItem>> DecodeItems(std::string_view aBytes)
{
  return Decode<std::vector<StepItem>>(aBytes, "step items");
}

Result<std::vector<ItemResult>> DecodeResults(std::string_view aBytes)
{
  return Decode<std::vector<ItemResult>>(aBytes, "step results");
}

Result<std::vector<PartialSample>> DecodePartials(std::string_view aBytes)
{
  return Decode<std::vector<PartialSample>>(aBytes, "partial samples");
}

} // namespace agatetide::steps
