#include "agatetide/coordination/store.hpp"

namespace agatetide::coordination {

std::string PrefixEnd(std::string_view aPrefix)
{
  std::string end(aPrefix);
  while (!end.empty()) {
    const auto last = static_cast<unsigned char>(end.back());
    if (last < 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

Awaitable<Result<std::optional<StoreEntry>>> ReadKey(StoreCall aStore,
                                                     std::string aKey)
{
  // GCC 12 copies aggregate temporaries in a co_await expression bitwise, so
  // requests with strings must be named variables.
  StoreRequest request = RangeRequest{ std::move(aKey), "", 0 };
  Result<StoreReply> reply = co_await aStore(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  if (reply->mEntries.empty()) {
    co_return std::optional<StoreEntry>();
  }
  co_return std::optional<StoreEntry>(std::move(reply->mEntries.front()));
}

Awaitable<Result<StoreReply>> ReadPrefix(StoreCall aStore, std::string aPrefix)
{
  std::string end = PrefixEnd(aPrefix);
  StoreRequest request = RangeRequest{ std::move(aPrefix), std::move(end), 0 };
  co_return co_await aStore(std::move(request));
}

} // namespace agatetide::coordination
