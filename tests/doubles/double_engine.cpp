// Model engine: OpenAI-compatible completions as server-sent events, with a
// bounded batch, priorities, resume, weight versions and a lagging load
// report. A prompt that contains CRASH ends the process.

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
  int mSwapMs = 300;
  int mLoadLagMs = 500;
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
    const auto delay = mOptions.mDelay.For(aRequest.mPeer);
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

  Awaitable<Result<bool>> Decode(json aBody, http::ChunkWriter aWriter)
  {
    const unsigned total = aBody.value("max_tokens", 16U);
    unsigned produced = aBody.value("resume_tokens", 0U);
    const std::string id = aBody.value("request_id", "");
    while (produced < total) {
      asio::steady_timer timer(
        mContext,
        std::chrono::milliseconds(mControl.value("step_ms", mOptions.mStepMs)));
      co_await timer.async_wait(asio::use_awaitable);
      const unsigned tokens = std::min(kTokensPerChunk, total - produced);
      produced += tokens;
      mTokens += tokens;
      std::string text;
      for (unsigned i = 0; i < tokens; ++i) {
        text += "w" + std::to_string(produced - tokens + i) + " ";
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
};

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("double_engine");
  options.add_options()(
    "slots", "", cxxopts::value<unsigned>()->default_value("16"))(
    "step-ms", "", cxxopts::value<int>()->default_value("20"))(
    "swap-ms", "", cxxopts::value<int>()->default_value("300"))(
    "load-lag-ms", "", cxxopts::value<int>()->default_value("500"));
  doubles::AddRegionDelay(options);
  std::unique_ptr<EngineDouble> engine;
  return doubles::RunDouble(
    options, aCount, aArguments, [&](auto& aContext, const auto& aParsed) {
      EngineOptions chosen;
      chosen.mSlots = aParsed["slots"].template as<unsigned>();
      chosen.mStepMs = aParsed["step-ms"].template as<int>();
      chosen.mSwapMs = aParsed["swap-ms"].template as<int>();
      chosen.mLoadLagMs = aParsed["load-lag-ms"].template as<int>();
      chosen.mDelay = doubles::RegionDelayFrom(aParsed);
      engine = std::make_unique<EngineDouble>(aContext, chosen);
      return [&](http::Request aRequest) {
        return engine->Handle(std::move(aRequest));
      };
    });
}
