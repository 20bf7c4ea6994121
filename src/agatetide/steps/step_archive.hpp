#pragma once

#include "agatetide/coordination/portable_bytes.hpp"
#include "agatetide/coordination/shared_bytes_archive.hpp"
#include "agatetide/steps/step.hpp"

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
  aArchive(aCall.mId, aCall.mHttpHost, aCall.mPath, aCall.mBody);
}

/// The fields of an item before its body.
template<class Archive>
void SerializeHead(Archive& aArchive, StepItem& aItem)
{
  aArchive(aItem.mId, aItem.mPath, aItem.mHeaders);
}

/// The fields of an item after its body.
template<class Archive>
void SerializeTail(Archive& aArchive, StepItem& aItem)
{
  // Encoded as a list of zero or one elements, since the bounded input archive
  // does not support optionals.
  std::vector<ScoringCall> scoring;
  if (aItem.mScoring) {
    scoring.push_back(*aItem.mScoring);
  }
  aArchive(aItem.mGroup, aItem.mExpectedTokens, scoring);
  if (!scoring.empty()) {
    aItem.mScoring = std::move(scoring.front());
  }
}

template<class Archive>
void serialize(Archive& aArchive, StepItem& aItem)
{
  SerializeHead(aArchive, aItem);
  aArchive(aItem.mBody);
  SerializeTail(aArchive, aItem);
}

} // namespace agatetide::steps
