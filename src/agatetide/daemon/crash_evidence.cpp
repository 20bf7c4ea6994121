#include "agatetide/daemon/crash_evidence.hpp"

#include "agatetide/daemon/traffic.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace agatetide::daemon {

using coordination::GossipRecord;

namespace {

constexpr std::chrono::seconds kCompletionRetention{ 60 };
constexpr size_t kMaxCompletions = 8192;
constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };
constexpr uint64_t kSameCrashWindowMs = 1000;

} // namespace

bool CrashEvidence::RecordCompletion(uint64_t aFingerprint, TimePoint aNow)
{
  if (mCompleted.insert_or_assign(aFingerprint, aNow).second) {
    mCompletionOrder.push_back(aFingerprint);
  }
  if (mCompletionOrder.size() > kMaxCompletions) {
    mCompleted.erase(mCompletionOrder.front());
    mCompletionOrder.pop_front();
  }
  return mSuspects.erase(aFingerprint) > 0;
}

void CrashEvidence::RecordSuspect(uint64_t aFingerprint)
{
  if (mSuspects.size() < kMaxCompletions) {
    mSuspects.insert(aFingerprint);
  }
}

bool CrashEvidence::IsSuspicious(uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mCompleted.find(aFingerprint);
  return found == mCompleted.end() ||
         aNow - found->second > kCompletionRetention;
}

void ReportCompletion(TrafficContext& aContext, uint64_t aFingerprint)
{
  if (aContext.mCrashEvidence.RecordCompletion(aFingerprint,
                                               aContext.mClock())) {
    TrafficReport report;
    report.mKind = TrafficReport::Kind::SuspicionCleared;
    report.mFingerprint = aFingerprint;
    aContext.mControl.mReport(std::move(report));
  }
}

Awaitable<bool> HasCrashed(TrafficContext& aContext, std::string aReplica)
{
  const auto endpoint = http::ParseEndpoint(aReplica);
  if (endpoint.has_error()) {
    co_return false;
  }
  http::Request probe;
  probe.mMethod = "GET";
  probe.mTarget = "/load";
  const http::CallOptions options{ aContext.mClock() + kProbeTimeout, true };
  const auto answer =
    co_await aContext.mClient->Call(*endpoint, std::move(probe), options);
  // A crashing process may still accept the connection and then reset it.
  co_return answer.has_error();
}

Awaitable<void> ReportBrokenConnection(TrafficContext& aContext,
                                       uint64_t aFingerprint,
                                       std::string aReplica)
{
  if (!aContext.mCrashEvidence.IsSuspicious(aFingerprint, aContext.mClock())) {
    co_return;
  }
  const bool gone = co_await HasCrashed(aContext, std::string(aReplica));
  // A retry may have been answered in the meantime.
  if (!gone ||
      !aContext.mCrashEvidence.IsSuspicious(aFingerprint, aContext.mClock())) {
    co_return;
  }
  aContext.mCrashEvidence.RecordSuspect(aFingerprint);
  TrafficReport report;
  report.mKind = TrafficReport::Kind::UpstreamCrash;
  report.mFingerprint = aFingerprint;
  report.mReplica = std::move(aReplica);
  aContext.mControl.mReport(std::move(report));
}

std::string FormatFingerprint(uint64_t aFingerprint)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aFingerprint));
  return text.data();
}

std::string CrashRecordKey(uint64_t aFingerprint,
                           std::string_view aReplica,
                           std::string_view aUnique)
{
  return FormatFingerprint(aFingerprint) + "/" + std::string(aReplica) + "/" +
         std::string(aUnique);
}

size_t CountCrashes(std::span<const GossipRecord> aRecords,
                    uint64_t aFingerprint,
                    int64_t aSinceMs)
{
  const std::string prefix = FormatFingerprint(aFingerprint) + "/";
  std::vector<std::pair<std::string, uint64_t>> reports;
  for (const GossipRecord& record : aRecords) {
    if (record.mKey.starts_with(prefix) &&
        static_cast<int64_t>(record.mSequence) > aSinceMs) {
      reports.emplace_back(record.mKey.substr(0, record.mKey.rfind('/')),
                           record.mSequence);
    }
  }
  std::sort(reports.begin(), reports.end());
  size_t crashes = 0;
  for (size_t i = 0; i < reports.size(); ++i) {
    const bool same =
      i > 0 && reports[i].first == reports[i - 1].first &&
      reports[i].second - reports[i - 1].second < kSameCrashWindowMs;
    crashes += same ? 0 : 1;
  }
  return crashes;
}

} // namespace agatetide::daemon
