#include "agatetide/process/process_record.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace agatetide;
using namespace agatetide::process;

namespace {

/// A folder that is removed at the end of the test.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string path = "/tmp/agatetide-test-XXXXXX";
    cr_assert_not_null(::mkdtemp(path.data()));
    mPath = path;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string File(const std::string& aName) const
  {
    return (mPath / aName).string();
  }

private:
  std::filesystem::path mPath;
};

ProcessRecord SampleRecord()
{
  ProcessRecord record;
  record.mProcessId = 7;
  record.mBootId = "boot";
  record.mPhase = "serving";
  record.mUptimeS = 12.5;
  record.mUsage.mResidentBytes = 100;
  record.mLimits.mDescriptors = 4100;
  return record;
}

/// Writes a record as a process does that ends after it.
void WriteAndEnd(const std::string& aPath, const ProcessRecord& aRecord)
{
  auto file = ProcessRecordFile::Open(aPath);
  cr_assert(file.has_value());
  file->Write(aRecord);
}

} // namespace

// Guards against a next start that does not know the process before.
Test(process_record, next_process_reads_the_record)
{
  const TemporaryFolder folder;
  WriteAndEnd(folder.File("life"), SampleRecord());
  const auto next = ProcessRecordFile::Open(folder.File("life"));
  cr_assert(next.has_value() && next->Previous().has_value());
  const ProcessRecord& previous = *next->Previous();
  cr_expect_eq(previous.mProcessId, 7);
  cr_expect(previous.mPhase == "serving" && previous.mEndCause.empty());
  cr_expect_eq(previous.mLimits.mDescriptors, 4100);
}

// Guards against an end by a fault that looks like one by SIGKILL.
Test(process_record, fault_is_the_cause_of_the_end)
{
  const TemporaryFolder folder;
  {
    auto file = ProcessRecordFile::Open(folder.File("life"));
    cr_assert(file.has_value());
    file->Write(SampleRecord());
    ProcessRecordFile::RecordFault(SIGSEGV);
    file->Write(SampleRecord());
  }
  const auto next = ProcessRecordFile::Open(folder.File("life"));
  cr_assert(next.has_value() && next->Previous().has_value());
  cr_expect(next->Previous()->mEndCause == "fault");
  cr_expect_eq(next->Previous()->mEndSignal, SIGSEGV);
}

// Guards against a second process that takes the record of one that runs.
Test(process_record, record_of_a_running_process_is_left_alone)
{
  const TemporaryFolder folder;
  auto first = ProcessRecordFile::Open(folder.File("life"));
  cr_assert(first.has_value());
  const auto second = ProcessRecordFile::Open(folder.File("life"));
  cr_assert(second.has_error());
  cr_expect(second.error().mKind == ErrorKind::Unavailable);
}

// Guards against writing through a link that another user has put there.
Test(process_record, links_are_not_followed)
{
  const TemporaryFolder folder;
  std::ofstream(folder.File("target")) << "content";
  std::filesystem::create_symlink(folder.File("target"), folder.File("life"));
  std::filesystem::create_hard_link(folder.File("target"), folder.File("hard"));
  cr_expect(ProcessRecordFile::Open(folder.File("life")).has_error());
  cr_expect(ProcessRecordFile::Open(folder.File("hard")).has_error());
}

// Guards against a start that fails because of what the process before left.
Test(process_record, malformed_records_are_ignored)
{
  const TemporaryFolder folder;
  for (const char* text : { "", "{", "[]", "{\"pid\":\"x\"}", "\n\n" }) {
    std::ofstream(folder.File("life")) << text;
    const auto file = ProcessRecordFile::Open(folder.File("life"));
    cr_assert(file.has_value());
    cr_expect(!file->Previous().has_value(), "%s", text);
  }
}

// Guards against a record that an error of any length or bytes breaks.
Test(process_record, errors_are_shortened)
{
  const TemporaryFolder folder;
  ProcessRecord record = SampleRecord();
  record.mEndCause = "runtime_failure";
  record.mEndError = std::string(5000, '\xff') + "\n\"";
  WriteAndEnd(folder.File("life"), record);
  const auto next = ProcessRecordFile::Open(folder.File("life"));
  cr_assert(next.has_value() && next->Previous().has_value());
  cr_expect(next->Previous()->mEndCause == "runtime_failure");
}

// Guards against an error that names another key than the one that it is about.
Test(process_record, errors_come_back)
{
  ProcessRecord record = SampleRecord();
  record.mActivity = "reads \"servers/a03+f\" \\ \t a04\xc3\xa9";
  record.mEndError = "\"a%b\" asked as \"a?b\"\n";
  const auto decoded = DecodeProcessRecord(EncodeProcessRecord(record));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded->mActivity, record.mActivity);
  cr_expect_eq(decoded->mEndError, record.mEndError);
}

// Guards against characters that take more room in the file than the record
// has, so that it can't be read.
Test(process_record, escaped_texts_fit)
{
  const TemporaryFolder folder;
  for (const char* character :
       { "\"", "\n", "\x01", "\xc3\xa9", "\xff", "\x80", "a" }) {
    ProcessRecord record = SampleRecord();
    for (int i = 0; i < 2000; ++i) {
      record.mActivity += character;
      record.mEndError += character;
    }
    WriteAndEnd(folder.File("life"), record);
    const auto next = ProcessRecordFile::Open(folder.File("life"));
    cr_assert(next.has_value() && next->Previous().has_value());
    const std::string& error = next->Previous()->mEndError;
    cr_expect(!error.empty());
    if (*character != '\xff' && *character != '\x80') {
      cr_expect(record.mEndError.starts_with(error), "%s", character);
    }
  }

  // The limit is within the last character.
  ProcessRecord record = SampleRecord();
  record.mEndError = std::string(349, 'a') + "\xc3\xa9";
  const auto decoded = DecodeProcessRecord(EncodeProcessRecord(record));
  cr_assert(decoded.has_value());
  cr_expect(record.mEndError.starts_with(decoded->mEndError));
}
