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

std::string LogIndex::Encode() const
{
  return coordination::EncodePortable(mEnds);
}

Result<LogIndex> LogIndex::Decode(std::string_view aBytes)
{
  auto ends = coordination::DecodePortable<std::vector<uint32_t>>(
    aBytes, "the stored index of a step's log", ErrorKind::DataLoss);
  if (ends.has_error()) {
    return ends.error();
  }
  if (!std::is_sorted(ends->begin(), ends->end())) {
    return Error{ ErrorKind::DataLoss,
                  "the stored index of a step's log is not in order",
                  "check that all daemons run the same version" };
  }
  LogIndex index;
  index.mEnds = std::move(*ends);
  return index;
}

} // namespace agatetide::steps
