// Test double of the platform's store: keeps its data in memory and speaks the
// JSON gateway protocol of etcd v3.
// POST /control {"down":bool,"delay_ms":n,"lose_answers":bool} injects faults.

#include "agatetide/clients/etcd_store.hpp"
#include "agatetide/coordination/memory_store.hpp"
#include "doubles/double_runner.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

using namespace agatetide;
using nlohmann::json;

namespace {

class StoreDouble
{
public:
  explicit StoreDouble(boost::asio::io_context& aContext)
    : mContext(aContext)
    , mStore(SteadyClock())
  {
  }

  Awaitable<http::Response> Handle(http::Request aRequest)
  {
    if (aRequest.mTarget == "/control") {
      mFaults = json::parse(aRequest.mBody);
      co_return http::MakeResponse(200, "application/json", "{}");
    }
    if (aRequest.mTarget == "/stats") {
      const json stats = { { "reads", mReads }, { "writes", mWrites } };
      co_return http::MakeResponse(200, "application/json", stats.dump());
    }
    if (mFaults.value("down", false)) {
      co_return http::MakeResponse(503, "application/json", "{}");
    }
    co_await Pause(mFaults.value("delay_ms", 0));
    const auto request =
      clients::DecodeGatewayRequest(aRequest.mTarget, aRequest.mBody);
    if (request.has_error()) {
      co_return http::MakeResponse(400, "application/json", "{}");
    }
    const bool read =
      std::holds_alternative<coordination::RangeRequest>(*request);
    ++(read ? mReads : mWrites);
    const auto reply = mStore.Apply(*request);
    if (mFaults.value("lose_answers", false) && !read) {
      co_return http::MakeResponse(503, "application/json", "{}");
    }
    co_return http::MakeResponse(
      200, "application/json", clients::EncodeGatewayReply(*request, reply));
  }

private:
  Awaitable<void> Pause(int aMilliseconds)
  {
    if (aMilliseconds > 0) {
      boost::asio::steady_timer timer(mContext,
                                      std::chrono::milliseconds(aMilliseconds));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  boost::asio::io_context& mContext;
  coordination::MemoryStore mStore;
  json mFaults = json::object();
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
};

} // namespace

int main(int aCount, char** aArguments)
{
  std::unique_ptr<StoreDouble> store;
  return doubles::RunDouble(cxxopts::Options("double_store"),
                            aCount,
                            aArguments,
                            [&](auto& aContext, const auto&) {
                              store = std::make_unique<StoreDouble>(aContext);
                              return [&](http::Request aRequest) {
                                return store->Handle(std::move(aRequest));
                              };
                            });
}
