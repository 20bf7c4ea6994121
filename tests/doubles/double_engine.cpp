// Test double of a model engine: OpenAI-compatible completions as server-sent
// events, with a bounded batch, priorities, resume, weight versions and a load
// report that lags. A prompt that contains CRASH ends the process.
// GET /seen reports generated tokens, completions and requests with a key;
// POST /control {"leaving":bool,"fail_swap":bool,"cut_streams":bool,
// "step_ms":n} injects faults.

#include "agatetide/base/encoding.hpp"
#include "doubles/double_runner.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace agatetide;
using nlohmann::json;
namespace asio = boost::asio;

namespace {

struct EngineOptions
{
  unsigned mMaxRunning = 16;
  /// Duration of one decoding step, which gives each running request
  /// kTokensPerChunk tokens.
  int mStepMs = 20;
  /// Time to load weights; decoding goes on meanwhile.
  int mWeightLoadMs = 300;
  /// Pause of all decoding before loaded weights become active.
  int mActivationPauseMs = 0;
  /// Age at which the load report is refreshed.
  int mLoadLagMs = 500;
  /// One in mLongSampleInterval samples has max_tokens tokens, the others a
  /// third of them. 0 gives every sample max_tokens.
  unsigned mLongSampleInterval = 0;
  doubles::RegionDelay mRegionDelay;
};

constexpr unsigned kTokensPerChunk = 4;

class EngineDouble
{
public:
  EngineDouble(asio::io_context& aContext, EngineOptions aOptions)
    : mContext(aContext)
    , mOptions(aOptions)
  {
  }

  Awaitable<http::Response> Handle(http::Request aRequest)
  {
    if (aRequest.mTarget == "/load") {
      co_return ReportLoad();
    }
    if (aRequest.mTarget == "/seen") {
      const json seen = { { "tokens", mTokens },
                          { "keys_seen", mKeysSeen },
                          { "completed", mCompleted } };
      co_return http::MakeResponse(200, "application/json", seen.dump());
    }
    if (aRequest.mTarget == "/control") {
      mControl = json::parse(aRequest.mBody);
      co_return http::MakeResponse(200, "application/json", "{}");
    }
    if (!http::FindHeader(aRequest.mHeaders, "authorization").empty()) {
      ++mKeysSeen;
    }
    if (aRequest.mTarget == "/v1/weights") {
      co_return co_await LoadWeights(json::parse(aRequest.mBody));
    }
    const auto regionDelay =
      mOptions.mRegionDelay.DelayFor(aRequest.mRemoteAddress);
    if (regionDelay.count() > 0) {
      asio::steady_timer timer(mContext, regionDelay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return StartCompletion(json::parse(aRequest.mBody));
  }

private:
  http::Response ReportLoad()
  {
    const auto now = std::chrono::steady_clock::now();
    if (now - mLoadReportedAt >
        std::chrono::milliseconds(mOptions.mLoadLagMs)) {
      mLoadReport = { { "running", mRunning },
                      { "queued", mWaiting.size() },
                      { "weight_version", mVersion },
                      { "leaving", mControl.value("leaving", false) } };
      mLoadReportedAt = now;
    }
    json report = mLoadReport;
    // A reclaim notice is the engine's own signal, so it does not lag; neither
    // does the weight version.
    report["leaving"] = mControl.value("leaving", false);
    report["weight_version"] = mVersion;
    return http::MakeResponse(200, "application/json", report.dump());
  }

  Awaitable<http::Response> LoadWeights(json aOrder)
  {
    const int64_t fencingToken = aOrder.value("fencing_number", int64_t{ 0 });
    if (fencingToken < mFencingToken) {
      co_return http::MakeResponse(409, "application/json", "{}");
    }
    mFencingToken = fencingToken;
    asio::steady_timer timer(mContext,
                             std::chrono::milliseconds(mOptions.mWeightLoadMs));
    co_await timer.async_wait(asio::use_awaitable);
    if (mControl.value("fail_swap", false)) {
      co_return http::MakeResponse(500, "application/json", "{}");
    }
    mPausedUntil = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(mOptions.mActivationPauseMs);
    timer.expires_at(mPausedUntil);
    co_await timer.async_wait(asio::use_awaitable);
    mVersion = std::max(mVersion, aOrder.value("version", uint64_t{ 0 }));
    co_return http::MakeResponse(200, "application/json", "{}");
  }

  http::Response StartCompletion(json aBody)
  {
    if (aBody.value("prompt", "").find("CRASH") != std::string::npos) {
      std::_Exit(1);
    }
    http::Response response = http::MakeResponse(200, "text/event-stream", "");
    response.mStream = [this,
                        body = std::move(aBody)](http::ChunkWriter aWriter) {
      return Run(body, std::move(aWriter));
    };
    return response;
  }

  /// Waits for a slot in the batch; lower priority values go first.
  Awaitable<void> AcquireSlot(int aPriority)
  {
    if (mRunning >= mOptions.mMaxRunning) {
      auto timer =
        std::make_shared<asio::steady_timer>(mContext, std::chrono::hours(1));
      mWaiting.emplace(aPriority, timer);
      boost::system::error_code ignored;
      co_await timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      co_return; // ReleaseSlot() handed the slot over.
    }
    ++mRunning;
  }

  void ReleaseSlot()
  {
    if (mWaiting.empty()) {
      --mRunning;
      return;
    }
    const auto first = mWaiting.begin();
    first->second->cancel();
    mWaiting.erase(first);
  }

  Awaitable<Result<bool>> Run(json aBody, http::ChunkWriter aWriter)
  {
    co_await AcquireSlot(aBody.value("priority", 0));
    const auto result = co_await Decode(std::move(aBody), std::move(aWriter));
    ReleaseSlot();
    co_return result;
  }

  /// Returns the length of the completion in tokens, which is the same when the
  /// sample is resumed.
  unsigned TotalTokens(const json& aBody) const
  {
    const unsigned maxTokens = aBody.value("max_tokens", 16U);
    const uint64_t hash =
      Hash64(aBody.value("prompt", ""), aBody.value("seed", uint64_t{ 0 }));
    const bool shortened = mOptions.mLongSampleInterval != 0 &&
                           hash % mOptions.mLongSampleInterval != 0;
    return shortened ? std::max(1U, maxTokens / 3) : maxTokens;
  }

  Awaitable<Result<bool>> Decode(json aBody, http::ChunkWriter aWriter)
  {
    const unsigned total = TotalTokens(aBody);
    unsigned produced = aBody.value("resume_tokens", 0U);
    const std::string id = aBody.value("request_id", "");
    auto nextStep = std::chrono::steady_clock::now();
    while (produced < total) {
      // Each step is scheduled from the planned time of the previous one, so
      // that a late timer does not lower the decoding rate.
      const auto now = std::chrono::steady_clock::now();
      nextStep +=
        std::chrono::milliseconds(mControl.value("step_ms", mOptions.mStepMs));
      asio::steady_timer timer(mContext, std::max(nextStep, now));
      co_await timer.async_wait(asio::use_awaitable);
      if (std::chrono::steady_clock::now() < mPausedUntil) {
        nextStep = mPausedUntil;
        timer.expires_at(nextStep);
        co_await timer.async_wait(asio::use_awaitable);
      }
      const unsigned tokens = std::min(kTokensPerChunk, total - produced);
      produced += tokens;
      mTokens += tokens;
      std::string text;
      for (unsigned i = 0; i < tokens; ++i) {
        // The text names the weight version, so that a test can tell which
        // version produced each token.
        text += "w" + std::to_string(produced - tokens + i) + "v" +
                std::to_string(mVersion) + " ";
      }
      const json event = { { "id", id },
                           { "choices",
                             { { { "index", 0 }, { "text", text } } } },
                           { "tokens", tokens },
                           { "weight_version", mVersion } };
      const auto written = co_await aWriter("data: " + event.dump() + "\n\n");
      if (written.has_error()) {
        co_return written.error();
      }
      if (mControl.value("cut_streams", false)) {
        co_return Error{ ErrorKind::Unavailable,
                         "stream cut by /control",
                         "none" };
      }
    }
    ++mCompleted;
    co_return co_await aWriter("data: [DONE]\n\n");
  }

  asio::io_context& mContext;
  EngineOptions mOptions;
  unsigned mRunning = 0;
  std::multimap<int, std::shared_ptr<asio::steady_timer>> mWaiting;
  uint64_t mVersion = 1;
  int64_t mFencingToken = 0;
  uint64_t mTokens = 0;
  uint64_t mCompleted = 0;
  uint64_t mKeysSeen = 0;
  json mControl = json::object();
  json mLoadReport = json::object();
  std::chrono::steady_clock::time_point mLoadReportedAt{};
  std::chrono::steady_clock::time_point mPausedUntil{};
};

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("double_engine");
  options.add_options()(
    "slots", "", cxxopts::value<unsigned>()->default_value("16"))(
    "step-ms", "", cxxopts::value<int>()->default_value("20"))(
    "swap-ms", "", cxxopts::value<int>()->default_value("300"))(
    "load-lag-ms", "", cxxopts::value<int>()->default_value("500"))(
    "activate-ms", "", cxxopts::value<int>()->default_value("0"))(
    "long-every", "", cxxopts::value<unsigned>()->default_value("0"));
  doubles::AddRegionDelayOptions(options);
  std::unique_ptr<EngineDouble> engine;
  return doubles::RunDouble(
    options, aCount, aArguments, [&](auto& aContext, const auto& aParsed) {
      EngineOptions engineOptions;
      engineOptions.mMaxRunning = aParsed["slots"].template as<unsigned>();
      engineOptions.mStepMs = aParsed["step-ms"].template as<int>();
      engineOptions.mWeightLoadMs = aParsed["swap-ms"].template as<int>();
      engineOptions.mLoadLagMs = aParsed["load-lag-ms"].template as<int>();
      engineOptions.mActivationPauseMs =
        aParsed["activate-ms"].template as<int>();
      engineOptions.mLongSampleInterval =
        aParsed["long-every"].template as<unsigned>();
      engineOptions.mRegionDelay = doubles::ParseRegionDelay(aParsed);
      engine = std::make_unique<EngineDouble>(aContext, engineOptions);
      return [&](http::Request aRequest) {
        return engine->Handle(std::move(aRequest));
      };
    });
}
