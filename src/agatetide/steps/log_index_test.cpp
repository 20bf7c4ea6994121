#include "agatetide/steps/log_index.hpp"

#include "agatetide/coordination/recorded_bytes.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace agatetide;
using namespace agatetide::steps;

namespace {

LogIndex MakeIndex()
{
  const std::array<uint32_t, 3> counts{ 3, 1, 4 };
  LogIndex index;
  index.Add(counts);
  return index;
}

} // namespace

// Guards against a page that begins behind the result that was asked for.
Test(log_index, an_entry_is_found_by_each_of_its_results)
{
  const LogIndex index = MakeIndex();
  for (size_t result = 0; result < 8; ++result) {
    const LogPosition found = index.Find(result);
    const uint32_t entry = result < 3 ? 0 : result < 4 ? 1 : 2;
    cr_expect_eq(found.mEntry, entry);
    cr_expect_eq(found.mResult, entry == 0 ? 0 : entry == 1 ? 3 : 4);
  }
}

// Guards against an index that lacks the last entries, which older builds
// appended, and hides them.
Test(log_index, results_behind_the_index_are_looked_for_after_its_end)
{
  cr_expect_eq(MakeIndex().Find(20).mEntry, 3);
  cr_expect_eq(MakeIndex().Find(20).mResult, 8);
  cr_expect_eq(LogIndex().Find(20).mEntry, 0);
  cr_expect_eq(LogIndex().Find(20).mResult, 0);
}

// Guards against positions that differ after the index was stored, and against
// reading one that is damaged.
Test(log_index, a_stored_index_says_the_same)
{
  StepRecord record;
  record.mId = "step";
  record.mAccount = "account";
  record.mItemCount = 8;
  const std::string bytes = EncodeIndexedLog(record, MakeIndex());
  const auto log = DecodeIndexedLog(bytes);
  cr_assert(log.has_value());
  cr_expect_str_eq(log->mRecord.mAccount.c_str(), "account");
  cr_expect_eq(log->mRecord.mItemCount, 8);
  cr_expect_eq(log->mIndex.EntryCount(), 3);
  cr_expect_eq(log->mIndex.Find(5).mResult, 4);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_expect(DecodeIndexedLog(bytes.substr(0, size)).has_error());
  }
  std::string unsorted = bytes;
  unsorted[unsorted.size() - 4] = 1;
  cr_expect(DecodeIndexedLog(unsorted).has_error());
}

// Guards against a change of the stored form, which later builds must read.
Test(log_index, its_stored_form_stays)
{
  const std::string record = EncodeRecord(StepRecord());
  const std::string bytes = EncodeIndexedLog(StepRecord(), MakeIndex());
  cr_assert_eq(bytes.find(record), 9, "after byte order and length");
  coordination::ExpectRecordedBytes(bytes.substr(9 + record.size()),
                                    "0300000000000000030000000400000008000000");
}
