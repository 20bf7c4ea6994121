#include "fuzz_encodings.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"
#include "mutation.hpp"
#include "platform/query.hpp"
#include "src/agatetide/base/test_log_value.hpp"

#include <algorithm>
#include <stdexcept>

namespace agatetide::fuzz {

namespace {

constexpr int kRounds = 20000;
constexpr size_t kMaxKeyBytes = 48;

/// Text that has a meaning in a query, in JSON, in a log line or in UTF-8.
constexpr std::string_view kPieces[] = {
  "+",  "%2B",          "%",     "&",    "=",    "a03+f58883", "servers/",
  " ",  "\xc3\xa9",     "#?",    "\\x0", "\\",   "\"",         "\n",
  "\r", "\xe2\x80\xa8", "event", "/../", "\xff", "\xc3",       "\xf0\x9f",
};

std::string RandomKey(Mutator& aMutator)
{
  std::string key;
  const size_t size = aMutator.RandomBelow(kMaxKeyBytes);
  while (key.size() < size) {
    if (aMutator.RandomBelow(3) == 0) {
      key += kPieces[aMutator.RandomBelow(std::size(kPieces))];
    } else {
      key += static_cast<char>(aMutator.RandomBelow(256));
    }
  }
  return key;
}

void CheckQuery(const std::string& aPrefix, const std::string& aKey)
{
  const std::string target = adapter::MakeTarget(
    "/kv-range", { { "pathPrefix", aPrefix }, { "after", aKey } });
  if (adapter::QueryValue(target, "pathPrefix") != aPrefix ||
      adapter::QueryValue(target, "after") != aKey) {
    throw std::runtime_error("a key came back as another one, hex " +
                             HexEncode(aKey) + ": " + target);
  }
}

/// A value must be read in a target whatever stands beside it.
void CheckTarget(std::string aNoise, const std::string& aKey)
{
  std::erase_if(aNoise,
                [](char aChar) { return aChar == '#' || aChar == '?'; });
  std::string target = adapter::MakeTarget("/" + aNoise, { { "after", aKey } });
  target += "&" + aNoise;
  if (adapter::QueryValue(target, "after") != aKey) {
    throw std::runtime_error("a value depends on the rest of its target, hex " +
                             HexEncode(target));
  }
}

void CheckLogLine(const std::string& aKey)
{
  LogEvent event("e");
  event.Field("v", aKey);
  const std::string_view line = event.Text();
  const bool isOneLine = std::none_of(
    line.begin(), line.end(), [](char aChar) { return aChar == '\n'; });
  if (!isOneLine || ReadLogValue(line.substr(
                      std::string_view("event=e v=").size())) != aKey) {
    throw std::runtime_error("a key was logged as another one, hex " +
                             HexEncode(aKey) + ": " + std::string(line));
  }
}

} // namespace

std::string FuzzEncodings(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  for (int round = 0; round < kRounds; ++round) {
    const std::string prefix = RandomKey(mutator);
    const std::string key = RandomKey(mutator);
    CheckQuery(prefix, key);
    CheckTarget(prefix, key);
    CheckLogLine(key);
  }
  return std::to_string(kRounds) + " keys came back";
}

} // namespace agatetide::fuzz
