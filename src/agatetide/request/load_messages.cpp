#include "agatetide/request/load_messages.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace agatetide::request {

namespace {

/// Form of the text, its first character. A form that is not known is an error.
constexpr char kForm = '1';
/// Digits of six bits, all allowed in the value of a header.
constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kDigitBits = 6;
constexpr uint64_t kDigitMask = (1U << kDigitBits) - 1;
/// Digits of an entry: the key, and four numbers.
constexpr unsigned kKeyDigits = 7;
constexpr unsigned kNumberDigits = 2;
constexpr uint64_t kMaxNumber =
  (uint64_t{ 1 } << (kDigitBits * kNumberDigits)) - 1;
constexpr size_t kMaxTextBytes = 4096;

void AppendNumber(std::string& aText, uint64_t aNumber, unsigned aDigits)
{
  for (unsigned i = aDigits; i > 0; --i) {
    aText.push_back(kDigits[(aNumber >> (kDigitBits * (i - 1))) & kDigitMask]);
  }
}

/// Removes a number from the start of aText; std::nullopt if it has other
/// characters than digits. Precondition: aText has as many characters.
std::optional<uint64_t> ReadNumber(std::string_view& aText, unsigned aDigits)
{
  uint64_t number = 0;
  for (const char character : aText.substr(0, aDigits)) {
    const size_t digit = kDigits.find(character);
    if (digit == std::string_view::npos) {
      return std::nullopt;
    }
    number = (number << kDigitBits) | digit;
  }
  aText.remove_prefix(aDigits);
  return number;
}

std::optional<SharedLoad> ReadEntry(std::string_view& aText)
{
  SharedLoad load;
  const auto key = ReadNumber(aText, kKeyDigits);
  if (!key) {
    return std::nullopt;
  }
  load.mKey = *key;
  for (uint32_t* field :
       { &load.mRunning, &load.mQueued, &load.mPacePercent, &load.mAgeMs }) {
    const auto number = ReadNumber(aText, kNumberDigits);
    if (!number) {
      return std::nullopt;
    }
    *field = static_cast<uint32_t>(*number);
  }
  return load;
}

Error Malformed(std::string aWhat)
{
  return { ErrorKind::InvalidArgument,
           "the load reports of another host have " + std::move(aWhat),
           "check that both hosts run builds that serve together" };
}

} // namespace

uint64_t ReplicaKey(const fleet::Replica& aReplica)
{
  const auto start = static_cast<uint64_t>(aReplica.mStartTimeMs);
  return Hash64(aReplica.mId, start) &
         ((uint64_t{ 1 } << (kDigitBits * kKeyDigits)) - 1);
}

std::string EncodeLoads(std::span<const SharedLoad> aLoads, size_t aMaxBytes)
{
  const size_t limit = std::min(aMaxBytes, kMaxTextBytes);
  if (aLoads.empty() || limit < 1 + kLoadBytes) {
    return {};
  }
  std::string text(1, kForm);
  for (const SharedLoad& load :
       aLoads.first(std::min(aLoads.size(), (limit - 1) / kLoadBytes))) {
    AppendNumber(text, load.mKey, kKeyDigits);
    for (const uint32_t number :
         { load.mRunning, load.mQueued, load.mPacePercent, load.mAgeMs }) {
      AppendNumber(text, std::min<uint64_t>(number, kMaxNumber), kNumberDigits);
    }
  }
  return text;
}

Result<std::vector<SharedLoad>> DecodeLoads(std::string_view aText)
{
  if (aText.empty() || aText.front() != kForm) {
    return Malformed("a form that this build does not know");
  }
  if (aText.size() > kMaxTextBytes || (aText.size() - 1) % kLoadBytes != 0) {
    return Malformed("a length that is not possible: " +
                     std::to_string(aText.size()));
  }
  aText.remove_prefix(1);
  std::vector<SharedLoad> loads;
  while (!aText.empty()) {
    const auto load = ReadEntry(aText);
    if (!load) {
      return Malformed("a malformed entry " + std::to_string(loads.size() + 1));
    }
    loads.push_back(*load);
  }
  return loads;
}

} // namespace agatetide::request
