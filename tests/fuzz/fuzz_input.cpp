#include "fuzz_encodings.hpp"
#include "fuzz_store_entries.hpp"
#include "mutation.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/coordination/messages.hpp"
#include "agatetide/http/server.hpp"
#include "agatetide/schema/schema_set.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sys/resource.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <thread>

using namespace agatetide;
using namespace agatetide::coordination;
using agatetide::fuzz::Mutator;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::string_view kSecret = "0123456789abcdef";
constexpr size_t kHeaderBytes = 20; // Magic and authentication code.

/// Limit for the growth of the peak memory while messages are decoded; the
/// inputs themselves are under 2 KiB.
constexpr long kMaxGrowthKiB = 64L * 1024;

long PeakMemoryKiB()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

void Require(bool aCondition, const std::string& aDescription)
{
  if (!aCondition) {
    throw std::runtime_error(aDescription);
  }
}

/// Decodes mutated bodies with a correct authentication code, as a faulty
/// daemon that knows the secret could send them, and checks that messages with
/// a wrong code are refused. Returns the number of refused bodies.
template<class Message>
size_t FuzzMessage(const Message& aMessage, Mutator& aMutator, int aRounds)
{
  const std::string valid = EncodeMessage(aMessage, kSecret);
  Require(DecodeMessage<Message>(valid, kSecret).has_value(),
          "a valid message was refused");
  size_t refused = 0;
  for (int round = 0; round < aRounds; ++round) {
    const std::string body = aMutator.Mutate(valid.substr(kHeaderBytes));
    const std::string mac = HmacSha256(kSecret, body).substr(0, 16);
    std::string signedMessage = valid.substr(0, 4);
    signedMessage += mac;
    signedMessage += body;
    const auto decoded = DecodeMessage<Message>(signedMessage, kSecret);
    refused += decoded.has_error() ? 1 : 0;
    const auto forged =
      DecodeMessage<Message>(aMutator.Mutate(valid) + "x", kSecret);
    Require(forged.has_error(), "a forged message was accepted");
  }
  return refused;
}

/// Guards against malformed messages between daemons that cause crashes,
/// undefined values or unbounded allocation.
std::string FuzzMessages(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  const long peakBefore = PeakMemoryKiB();
  Datagram datagram;
  datagram.mTarget = "127.0.0.1:7100";
  datagram.mUpdates.resize(3);
  datagram.mRecords.push_back({ "load", "127.0.0.1:8000", "{}", 7 });
  PeerReply reply;
  reply.mFound = true;
  reply.mChanges.push_back({ 1, "id", "account/a", false, "value" });
  const PeerRequest request{ "config", "key", 4, "body" };
  size_t refused = FuzzMessage(datagram, mutator, 20000);
  refused += FuzzMessage(reply, mutator, 20000);
  refused += FuzzMessage(request, mutator, 20000);
  const long growthKiB = PeakMemoryKiB() - peakBefore;
  Require(growthKiB < kMaxGrowthKiB,
          "memory grew by " + std::to_string(growthKiB) + " KiB");
  return std::to_string(refused) + " of 60000 bodies refused, " +
         std::to_string(growthKiB) + " KiB growth";
}

constexpr std::string_view kSchema = R"(syntax = "proto3";
package shop.v1;
service Parts {
  rpc Find(FindRequest) returns (FindRequest) { option idempotency_level = IDEMPOTENT; }
}
message FindRequest {
  string part = 1;
  int32 count = 2;
  repeated FindRequest inner = 3;
  map<string, double> sizes = 4;
  enum Kind { NONE = 0; PUMP = 1; }
  Kind kind = 5;
  oneof choice { bytes raw = 6; uint64 number = 7; }
}
)";

constexpr std::string_view kJson =
  R"({"part":"pump","count":3,"inner":[{"part":"a","inner":[{}]}],)"
  R"("sizes":{"a":1.5},"kind":"PUMP","number":"18446744073709551615"})";

/// Guards against malformed schema files of operators that crash the parser,
/// and against errors without a remedy.
std::string FuzzSchema(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  size_t refused = 0;
  constexpr int kRounds = 3000;
  for (int round = 0; round < kRounds; ++round) {
    const std::string other = "syntax = \"proto3\"; import \"shop.proto\";";
    const bool mutateShop = round % 4 != 0;
    const std::vector<schema::SchemaFile> files = {
      { "shop.proto",
        mutateShop ? mutator.Mutate(kSchema) : std::string(kSchema) },
      { "other.proto", mutateShop ? other : mutator.Mutate(other) }
    };
    const auto parsed = schema::SchemaSet::Create(files);
    refused += parsed.has_error() ? 1 : 0;
    Require(parsed.has_value() || !parsed.error().mRemedy.empty(),
            "an error without a remedy");
  }
  return std::to_string(refused) + " of " + std::to_string(kRounds) +
         " refused";
}

/// Guards against malformed bodies of callers and upstreams that crash the
/// transcoder.
std::string FuzzTranscoding(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  const schema::SchemaFile file{ "shop.proto", std::string(kSchema) };
  const auto set = schema::SchemaSet::Create(std::span(&file, 1)).value();
  const std::string type = "shop.v1.FindRequest";
  const auto binary =
    set->FromJson(type, kJson, schema::Encoding::Protobuf).value();
  size_t refused = 0;
  constexpr int kRounds = 8000;
  for (int round = 0; round < kRounds; ++round) {
    const std::string json = mutator.Mutate(kJson);
    refused += set->ToJson(type, json, schema::Encoding::Json).has_error();
    refused +=
      set->FromJson(type, json, schema::Encoding::Protobuf).has_error();
    refused +=
      set->ToJson(type, mutator.Mutate(binary), schema::Encoding::Protobuf)
        .has_error();
  }
  // Deep nesting must be refused before it exhausts the stack.
  std::string deep;
  for (int depth = 0; depth < 100000; ++depth) {
    deep += R"({"inner":[)";
  }
  Require(set->ToJson(type, deep, schema::Encoding::Json).has_error(),
          "deep nesting was accepted");
  return std::to_string(refused) + " of " + std::to_string(3 * kRounds) +
         " refused";
}

/// Sends raw bytes, shuts down the sending side and returns the response.
std::string Exchange(const Tcp::endpoint& aServer, const std::string& aBytes)
{
  boost::asio::io_context context;
  Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(aServer, error);
  boost::asio::write(socket, boost::asio::buffer(aBytes), error);
  socket.shutdown(Tcp::socket::shutdown_send, error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

constexpr std::string_view kRequest =
  "POST /shop.v1.Parts/Find HTTP/1.1\r\nhost: a\r\n"
  "content-type: application/json\r\nx-request-id: 7\r\n"
  "content-length: 2\r\n\r\n{}";
constexpr std::string_view kChunked =
  "POST /shop.v1.Parts/Find HTTP/1.1\r\nhost: a\r\n"
  "transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";

/// Guards against malformed or truncated requests that stop the server or leave
/// connections open.
std::string FuzzHttp(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  boost::asio::io_context context(1);
  http::ServerOptions options;
  options.mTransferTimeout = std::chrono::milliseconds(500);
  options.mIdleTimeout = std::chrono::milliseconds(500);
  options.mMaxBodyBytes = 4096;
  const http::Handler handler =
    [](http::Request aRequest) -> Awaitable<http::Response> {
    if (http::FindHeader(aRequest.mHeaders, "x-request-id") == "throw") {
      throw std::runtime_error("handler");
    }
    co_return http::MakeResponse(200, "text/plain", aRequest.mBody);
  };
  const auto server =
    http::Server::Create(context.get_executor(), options, handler).value();
  const Tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                               server->Port());
  std::thread thread([&] { context.run(); });
  std::string failure;
  const auto expect = [&](std::string_view aRequest, std::string_view aStatus) {
    const std::string answer = Exchange(endpoint, std::string(aRequest));
    if (!answer.starts_with("HTTP/1.1 " + std::string(aStatus))) {
      failure += "expected " + std::string(aStatus) + ", got " +
                 answer.substr(0, 40) + "; ";
    }
  };
  constexpr int kRounds = 1500;
  for (int round = 0; round < kRounds; ++round) {
    Exchange(endpoint, mutator.Mutate(round % 2 == 0 ? kRequest : kChunked));
    if (round % 100 == 0) {
      expect(kRequest, "200");
    }
  }
  expect("POST / HTTP/1.1\r\nx-request-id: throw\r\n\r\n", "500");
  expect("POST / HTTP/1.1\r\ncontent-length: 999999999\r\n\r\n", "429");
  expect("POST / HTTP/1.1\r\na: " + std::string(20000, 'a') + "\r\n\r\n",
         "429");
  expect("nonsense\r\n\r\n", "400");
  expect(kRequest, "200");
  context.stop();
  thread.join();
  const http::ServerCounters counters = server->Counters();
  Require(failure.empty(), failure);
  Require(counters.mHandlerFailures == 1, "the exception was not counted");
  return std::to_string(counters.mMalformedRequests) + " of " +
         std::to_string(kRounds) + " requests malformed";
}

} // namespace

int main(int aCount, char** aArguments)
{
  const uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  const std::pair<const char*, std::function<std::string(uint64_t)>>
    targets[] = {
      { "fuzz_messages", FuzzMessages },
      { "fuzz_schema", FuzzSchema },
      { "fuzz_transcoding", FuzzTranscoding },
      { "fuzz_http", FuzzHttp },
      { "fuzz_store_entries", fuzz::FuzzStoreEntries },
      { "fuzz_encodings", fuzz::FuzzEncodings },
    };
  int exitCode = 0;
  for (const auto& [name, run] : targets) {
    try {
      const std::string summary = run(seed);
      std::cout << "ok " << name << " " << summary << std::endl;
    } catch (const std::exception& error) {
      std::cout << "FAIL " << name << " " << error.what() << std::endl;
      exitCode = 1;
    }
  }
  return exitCode;
}
