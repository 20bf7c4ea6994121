#include "agatetide/steps/log_index.hpp"

#include "agatetide/coordination/portable_bytes.hpp"

#include <algorithm>

namespace agatetide::steps {

void LogIndex::Add(size_t aResultCount)
{
  mEnds.push_back(static_cast<uint32_t>(ResultCount() + aResultCount));
}

void LogIndex::Add(std::span<const uint32_t> aResultCounts)
{
  for (const uint32_t count : aResultCounts) {
    Add(count);
  }
}

LogPosition LogIndex::Find(size_t aResult) const
{
  const auto after = std::upper_bound(mEnds.begin(), mEnds.end(), aResult);
  if (after == mEnds.begin()) {
    return {};
  }
  return { static_cast<uint32_t>(after - mEnds.begin()), *std::prev(after) };
}

namespace {

/// The stored form of an index.
struct StoredIndex
{
  std::string mRecord;
  std::vector<uint32_t> mEnds;
};

template<class Archive>
void serialize(Archive& aArchive, StoredIndex& aIndex)
{
  aArchive(aIndex.mRecord, aIndex.mEnds);
}

} // namespace

std::string EncodeIndexedLog(const StepRecord& aRecord, const LogIndex& aIndex)
{
  return coordination::EncodePortable(
    StoredIndex{ EncodeRecord(aRecord), aIndex.mEnds });
}

Result<IndexedLog> DecodeIndexedLog(std::string_view aBytes)
{
  auto stored = coordination::DecodePortable<StoredIndex>(
    aBytes, "the stored index of a step's log", ErrorKind::DataLoss);
  if (stored.has_error()) {
    return stored.error();
  }
  auto record = DecodeRecord(stored->mRecord);
  if (record.has_error()) {
    return record.error();
  }
  if (!std::is_sorted(stored->mEnds.begin(), stored->mEnds.end())) {
    return Error{ ErrorKind::DataLoss,
                  "the stored index of a step's log is not in order",
                  "check that all daemons run the same version" };
  }
  IndexedLog log;
  log.mRecord = std::move(*record);
  log.mIndex.mEnds = std::move(stored->mEnds);
  return log;
}

} // namespace agatetide::steps
