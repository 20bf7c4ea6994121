// Model engine: OpenAI-compatible completions as server-sent events, with a
// bounded batch, priorities, resume, weight versions and a lagging load
// report. A prompt that contains CRASH ends the process.

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
  unsigned mSlots = 16;
  /// Time of one decoding step; each running request gets kTokensPerChunk
  /// tokens in it.
  int mStepMs = 20;
  /// Time to load weights, and of the pause of all decoding that follows.
  int mSwapMs = 300;
  int mActivateMs = 0;
  int mLoadLagMs = 500;
  /// One of so many samples is long: it uses all of max_tokens, the others a
  /// third. 0 gives every sample max_tokens.
  unsigned mLongEvery = 0;
  doubles::RegionDelay mDelay;
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
      co_return Load();
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
      co_return co_await Swap(json::parse(aRequest.mBody));
    }
    const auto delay = mOptions.mDelay.For(aRequest.mRemoteAddress);
    if (delay.count() > 0) {
      asio::steady_timer timer(mContext, delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return Complete(json::parse(aRequest.mBody));
  }

private:
  http::Response Load()
  {
    const auto now = std::chrono::steady_clock::now();
    if (now - mReportedAt > std::chrono::milliseconds(mOptions.mLoadLagMs)) {
      mReport = { { "running", mRunning },
                  { "queued", mWaiting.size() },
                  { "weight_version", mVersion },
                  { "leaving", mControl.value("leaving", false) } };
      mReportedAt = now;
    }
    json report = mReport;
    // A reclaim notice is the engine's own signal and does not lag.
    report["leaving"] = mControl.value("leaving", false);
    report["weight_version"] = mVersion;
    return http::MakeResponse(200, "application/json", report.dump());
  }

  Awaitable<http::Response> Swap(json aOrder)
  {
    const int64_t fencing = aOrder.value("fencing_number", int64_t{ 0 });
    if (fencing < mFencing) {
      co_return http::MakeResponse(409, "application/json", "{}");
    }
    mFencing = fencing;
    asio::steady_timer timer(mContext,
                             std::chrono::milliseconds(mOptions.mSwapMs));
    co_await timer.async_wait(asio::use_awaitable);
    if (mControl.value("fail_swap", false)) {
      co_return http::MakeResponse(500, "application/json", "{}");
    }
    mPausedUntil = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(mOptions.mActivateMs);
    timer.expires_at(mPausedUntil);
    co_await timer.async_wait(asio::use_awaitable);
    mVersion = std::max(mVersion, aOrder.value("version", uint64_t{ 0 }));
    co_return http::MakeResponse(200, "application/json", "{}");
  }

  http::Response Complete(json aBody)
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

  /// Waits for a slot of the batch; lower priority values go first.
  Awaitable<void> TakeSlot(int aPriority)
  {
    if (mRunning >= mOptions.mSlots) {
      auto timer =
        std::make_shared<asio::steady_timer>(mContext, std::chrono::hours(1));
      mWaiting.emplace(aPriority, timer);
      boost::system::error_code ignored;
      co_await timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      co_return; // The slot was handed over by GiveSlot().
    }
    ++mRunning;
  }

  void GiveSlot()
  {
    if (mWaiting.empty()) {
      --mRunning;
      return;
    }
    const auto next = mWaiting.begin();
    next->second->cancel();
    mWaiting.erase(next);
  }

  Awaitable<Result<bool>> Run(json aBody, http::ChunkWriter aWriter)
  {
    co_await TakeSlot(aBody.value("priority", 0));
    const auto result = co_await Decode(std::move(aBody), std::move(aWriter));
    GiveSlot();
    co_return result;
  }

  /// Tokens of the whole answer; the same for a resumed sample.
  unsigned LengthOf(const json& aBody) const
  {
    const unsigned most = aBody.value("max_tokens", 16U);
    const uint64_t draw =
      Hash64(aBody.value("prompt", ""), aBody.value("seed", uint64_t{ 0 }));
    const bool shortened =
      mOptions.mLongEvery != 0 && draw % mOptions.mLongEvery != 0;
    return shortened ? std::max(1U, most / 3) : most;
  }

  Awaitable<Result<bool>> Decode(json aBody, http::ChunkWriter aWriter)
  {
    const unsigned total = LengthOf(aBody);
    unsigned produced = aBody.value("resume_tokens", 0U);
    const std::string id = aBody.value("request_id", "");
    auto next = std::chrono::steady_clock::now();
    while (produced < total) {
      // Steps are counted from the last one's time, so that a late timer does
      // not lower the engine's speed.
      const auto late = std::chrono::steady_clock::now();
      next +=
        std::chrono::milliseconds(mControl.value("step_ms", mOptions.mStepMs));
      asio::steady_timer timer(mContext, std::max(next, late));
      co_await timer.async_wait(asio::use_awaitable);
      if (std::chrono::steady_clock::now() < mPausedUntil) {
        next = mPausedUntil;
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
      }
      const unsigned tokens = std::min(kTokensPerChunk, total - produced);
      produced += tokens;
      mTokens += tokens;
      std::string text;
      for (unsigned i = 0; i < tokens; ++i) {
        // Names the version, so that a test can tell which one produced it.
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
        co_return Error{ ErrorKind::Unavailable, "cut by /control", "none" };
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
  int64_t mFencing = 0;
  uint64_t mTokens = 0;
  uint64_t mCompleted = 0;
  uint64_t mKeysSeen = 0;
  json mControl = json::object();
  json mReport = json::object();
  std::chrono::steady_clock::time_point mReportedAt{};
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
  doubles::AddRegionDelay(options);
  std::unique_ptr<EngineDouble> engine;
  return doubles::RunDouble(
    options, aCount, aArguments, [&](auto& aContext, const auto& aParsed) {
      EngineOptions chosen;
      chosen.mSlots = aParsed["slots"].template as<unsigned>();
      chosen.mStepMs = aParsed["step-ms"].template as<int>();
      chosen.mSwapMs = aParsed["swap-ms"].template as<int>();
      chosen.mLoadLagMs = aParsed["load-lag-ms"].template as<int>();
      chosen.mActivateMs = aParsed["activate-ms"].template as<int>();
      chosen.mLongEvery = aParsed["long-every"].template as<unsigned>();
      chosen.mDelay = doubles::RegionDelayFrom(aParsed);
      engine = std::make_unique<EngineDouble>(aContext, chosen);
      return [&](http::Request aRequest) {
        return engine->Handle(std::move(aRequest));
      };
    });
}
