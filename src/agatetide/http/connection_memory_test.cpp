#include "agatetide/base/clock.hpp"
#include "agatetide/http/connection_memory.hpp"
#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr size_t kBudget = size_t{ 1 } << 20U;
/// A head of 16 KiB with the shortest lines takes 4 MiB.
constexpr size_t kHeadBudget = size_t{ 5 } << 20U;
constexpr size_t kFree = http::ConnectionHold::kFreeBytes;

/// Budgets of the same size, and a clock that the test advances.
struct Fixture
{
  explicit Fixture(size_t aBudget = kBudget)
  {
    const auto make = [aBudget] {
      return std::make_shared<MemoryBudget>(aBudget);
    };
    mMemory = std::make_shared<http::ConnectionMemory>(
      http::ConnectionMemory::Budgets{ make(), make(), make() },
      [this] { return mNow; });
  }

  std::shared_ptr<http::ConnectionHold> Hold(const std::string& aName)
  {
    return std::make_shared<http::ConnectionHold>(
      mMemory, [this, aName] { mClosed.push_back(aName); });
  }

  std::vector<std::string> mClosed;
  TimePoint mNow{ std::chrono::hours(1) };
  std::shared_ptr<http::ConnectionMemory> mMemory;
};

/// A server with these options, and callers that send to it.
struct ServerFixture
{
  explicit ServerFixture(size_t aBudget = kBudget)
    : mFixture(aBudget)
  {
    http::ServerOptions options;
    options.mBodyBudget = mFixture.mMemory->Parts().mLargeBodies;
    options.mMemory = mFixture.mMemory;
    auto server =
      http::Server::Create(mContext.get_executor(),
                           options,
                           [](http::Request) -> Awaitable<http::Response> {
                             co_return http::Response();
                           });
    mServer = std::move(*server);
  }

  asio::ip::tcp::socket Send(const std::string& aRequest)
  {
    asio::ip::tcp::socket socket(mCallers);
    socket.connect({ asio::ip::address_v4::loopback(), mServer->Port() });
    mContext.poll();
    boost::system::error_code error;
    for (size_t sent = 0; sent < aRequest.size() && !error;) {
      const size_t size = std::min(aRequest.size() - sent, size_t{ 32 } << 10U);
      sent +=
        asio::write(socket, asio::buffer(aRequest.data() + sent, size), error);
      mContext.poll();
    }
    mContext.run_for(std::chrono::milliseconds(50));
    return socket;
  }

  /// Returns the status of the response; empty if there is none.
  static std::string Status(asio::ip::tcp::socket& aSocket)
  {
    boost::system::error_code error;
    std::string text(12, '\0');
    aSocket.non_blocking(true);
    text.resize(aSocket.read_some(asio::buffer(text), error));
    return text.size() == 12 ? text.substr(9) : "";
  }

  Fixture mFixture;
  asio::io_context mContext;
  asio::io_context mCallers;
  std::unique_ptr<http::Server> mServer;
};

std::string Repeat(const std::string& aText, size_t aBytes)
{
  std::string text;
  while (text.size() + aText.size() <= aBytes) {
    text += aText;
  }
  return text;
}

const std::string kStart = "POST / HTTP/1.1\r\n";
const std::string kChunked = kStart + "transfer-encoding: chunked\r\n\r\n";

} // namespace

// Guards against closing the callers that hold little, or that are new, before
// those that hold much for long.
Test(connection_memory, closes_what_holds_most_for_longest)
{
  Fixture fixture;
  const auto small = fixture.Hold("small");
  const auto large = fixture.Hold("large");
  const auto handled = fixture.Hold("handled");
  for (const auto& hold : { small, large }) {
    hold->SetPhase(http::ConnectionPhase::Receiving);
  }
  cr_expect(small->GrowSmall(kFree + 1000));
  cr_expect(large->GrowSmall(kFree + 90000));
  cr_expect(handled->GrowSmall(kFree + 500000));
  cr_expect(!fixture.mMemory->CloseMostSuspicious());
  fixture.mNow += http::ConnectionMemory::kMinSuspectAge;
  const auto recent = fixture.Hold("recent");
  recent->SetPhase(http::ConnectionPhase::Receiving);
  cr_expect(recent->GrowSmall(kFree + 200000));
  cr_expect(fixture.mMemory->CloseMostSuspicious());
  cr_expect(large->IsClosed());
  cr_expect(fixture.mMemory->CloseMostSuspicious());
  cr_expect(!fixture.mMemory->CloseMostSuspicious());
  cr_expect_eq(fixture.mClosed.size(), 2);
  cr_expect_eq(fixture.mMemory->ClosedReceiving(), 2);
}

// Guards against closing the connection of another host, and against refusing
// its messages in a flood of callers.
Test(connection_memory, serves_hosts_and_never_closes_their_connections)
{
  Fixture fixture;
  http::ConnectionHold host(fixture.mMemory, {});
  host.SetPhase(http::ConnectionPhase::Receiving);
  host.SetBodyBytes(90000);
  cr_expect(host.GrowSmall(kFree + 4 * kBudget));
  fixture.mNow += std::chrono::minutes(1);
  cr_expect(!fixture.mMemory->CloseMostSuspicious());
}

// Guards against large bodies and responses that keep ordinary requests out.
Test(connection_memory, ordinary_requests_fit_in_a_flood)
{
  Fixture fixture;
  const auto flood = fixture.Hold("flood");
  cr_expect(flood->GrowSmall(kFree + kBudget));
  MemoryReservation bodies(fixture.mMemory->Parts().mLargeBodies);
  cr_expect(bodies.Grow(kBudget));
  const auto ordinary = fixture.Hold("ordinary");
  cr_expect(ordinary->GrowSmall(kFree));
  cr_expect(!ordinary->GrowSmall(kFree + 1));
  flood->Reset();
  cr_expect(ordinary->GrowSmall(kFree + 1));
}

// Guards against a response that never fits, and against many unread ones.
Test(connection_memory, one_response_always_fits)
{
  Fixture fixture;
  const auto first = fixture.Hold("first");
  const auto second = fixture.Hold("second");
  cr_expect(first->TakeResponse(2 * kBudget));
  cr_expect(first->TakeResponse(kBudget));
  cr_expect(!second->TakeResponse(kBudget / 2));
  first->SetPhase(http::ConnectionPhase::Writing);
  fixture.mNow += http::ConnectionMemory::kMinSuspectAge;
  cr_expect(fixture.mMemory->CloseMostSuspicious());
  cr_expect_eq(fixture.mMemory->ClosedWriting(), 1);
}

// Guards against refusing a head that is within its limit, whatever its lines.
Test(connection_memory, serves_a_head_of_any_lines_within_the_limit)
{
  for (const std::string line : { "a:\r\n", "a: b\r\n", "a: b\r\n c\r\n" }) {
    ServerFixture fixture(kHeadBudget);
    const std::string head = kStart + "content-length: 0\r\n";
    auto caller = fixture.Send(
      head + Repeat(line, (size_t{ 16 } << 10U) - head.size() - 2) + "\r\n");
    cr_expect_eq(ServerFixture::Status(caller), "200");
  }
}

// Guards against trailers and chunk extensions that are kept without a limit.
Test(connection_memory, trailers_and_extensions_end)
{
  const size_t endless = size_t{ 1 } << 20U;
  const std::vector<std::string> requests = {
    kChunked + "0\r\n" + Repeat("t: v\r\n", endless),
    kChunked + "0\r\nt: " + Repeat("v", endless),
    kChunked + "1;" + Repeat("e", endless),
    kChunked + "1" + Repeat(";e=v", endless)
  };
  for (const std::string& request : requests) {
    ServerFixture fixture;
    auto caller = fixture.Send(request);
    cr_expect_eq(ServerFixture::Status(caller), "429");
    cr_expect_eq(fixture.mServer->Counters().mMalformedRequests, 1);
  }
  ServerFixture fixture;
  auto caller = fixture.Send(kChunked + "1;e=v\r\nb\r\n0\r\nt: v\r\n\r\n");
  cr_expect_eq(ServerFixture::Status(caller), "200");
}

// Guards against bodies short of their end that keep other large bodies out.
Test(connection_memory, a_body_that_stays_incomplete_makes_room)
{
  ServerFixture fixture;
  const size_t bytes = size_t{ 400 } << 10U;
  const std::string request = kStart +
                              "content-length: " + std::to_string(bytes) +
                              "\r\n\r\n" + std::string(bytes, 'b');
  auto incomplete = fixture.Send(request.substr(0, request.size() - 1));
  auto refused = fixture.Send(request);
  cr_expect_eq(ServerFixture::Status(refused), "503");
  fixture.mFixture.mNow += http::ConnectionMemory::kMinSuspectAge;
  auto served = fixture.Send(request);
  cr_expect_eq(ServerFixture::Status(served), "200");
  cr_expect_eq(fixture.mFixture.mMemory->ClosedReceiving(), 1);
  cr_expect_eq(fixture.mFixture.mMemory->Used(), 0);
}
