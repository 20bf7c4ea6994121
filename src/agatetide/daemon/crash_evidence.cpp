#include "agatetide/daemon/crash_evidence.hpp"

#include "agatetide/daemon/traffic.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace agatetide::daemon {

using coordination::GossipRecord;

namespace {

constexpr size_t kMaxSuspects = 8192;
/// A call is sent to two upstreams at most, so it crashes no more by itself.
constexpr size_t kMaxCrashes = 2;
constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };
constexpr uint64_t kSameCrashWindowMs = 1000;

} // namespace

CrashEvidence::CrashEvidence(Clock aClock)
  : mCompletions({}, std::move(aClock))
{
}

bool CrashEvidence::RecordCompletion(uint64_t aFingerprint)
{
  mCompletions.Record(FormatFingerprint(aFingerprint));
  return mSuspects.erase(aFingerprint) > 0;
}

void CrashEvidence::RecordSuspect(uint64_t aFingerprint)
{
  if (mSuspects.size() < kMaxSuspects) {
    mSuspects.insert(aFingerprint);
  }
}

bool CrashEvidence::IsSuspicious(uint64_t aFingerprint) const
{
  return !mCompletions.Contains(FormatFingerprint(aFingerprint));
}

void ReportCompletion(TrafficContext& aContext, uint64_t aFingerprint)
{
  if (aContext.mCrashEvidence.RecordCompletion(aFingerprint)) {
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
  if (!aContext.mCrashEvidence.IsSuspicious(aFingerprint)) {
    co_return;
  }
  const bool gone = co_await HasCrashed(aContext, std::string(aReplica));
  // A retry may have been answered in the meantime.
  if (!gone || !aContext.mCrashEvidence.IsSuspicious(aFingerprint)) {
    co_return;
  }
  aContext.mCrashEvidence.RecordSuspect(aFingerprint);
  TrafficReport report;
  report.mKind = TrafficReport::Kind::UpstreamCrash;
  report.mFingerprint = aFingerprint;
  report.mReplica = std::move(aReplica);
  aContext.mControl.mReport(std::move(report));
}

bool IsQuarantined(size_t aCrashes)
{
  policy::CrashHistory history;
  history.mCrashes = aCrashes;
  policy::CrashVerdictOptions options;
  options.mMaxCrashes = kMaxCrashes;
  return policy::JudgeRequest(history, options).mVerdict ==
         policy::CrashVerdict::Refuse;
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
