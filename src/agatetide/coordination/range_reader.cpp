#include "agatetide/coordination/range_reader.hpp"

#include <utility>

namespace agatetide::coordination {

namespace {

/// A reply holds at least this many entries if there are as many, and what the
/// store returned with them: one page.
constexpr int64_t kOnePage = 1;

/// Counts the entries up to the first fault; returns how many are in order.
size_t TakeEntries(const std::vector<StoreEntry>& aEntries,
                   PageOrder& aOrder,
                   RangeProgress& aProgress)
{
  size_t count = 0;
  for (const StoreEntry& entry : aEntries) {
    aProgress.mFault = aOrder.Take(entry.mKey);
    if (aProgress.mFault) {
      break;
    }
    aProgress.mBytes +=
      entry.mKey.size() + entry.mValue.size() + entry.mOmittedBytes;
    ++count;
  }
  aProgress.mEntries += count;
  aProgress.mLastKey = aOrder.Last();
  return count;
}

/// The first key that sorts after aKey.
std::string NextKey(const std::string& aKey)
{
  return aKey + '\0';
}

} // namespace

Error PageFaultError(const PageFault& aFault)
{
  return { ErrorKind::DataLoss,
           "the store returned the key \"" + aFault.mKey +
             "\" on the page after \"" + aFault.mAfter + "\"",
           "check that the store returns each key once, in the order of bytes",
           Execution::Completed };
}

std::optional<PageFault> PageOrder::Take(std::string_view aKey)
{
  if (!aKey.starts_with(mPrefix) || (!mLast.empty() && aKey <= mLast)) {
    return PageFault{ mLast, std::string(aKey) };
  }
  mLast = aKey;
  return std::nullopt;
}

Awaitable<Result<RangeProgress>> ReadPages(StoreCall aStore,
                                           std::string aPrefix,
                                           PageSink aSink,
                                           ProgressSink aOnProgress)
{
  RangeProgress progress;
  PageOrder order(aPrefix);
  const std::string end = PrefixEnd(aPrefix);
  std::string from = std::move(aPrefix);
  for (bool more = true; more;) {
    StoreRequest request = RangeRequest{ std::move(from), end, kOnePage };
    const auto page = co_await aStore(std::move(request));
    if (page.has_error()) {
      co_return page.error();
    }
    if (progress.mPages == 0) {
      progress.mRevision = page->mRevision;
    }
    ++progress.mPages;
    const size_t count = TakeEntries(page->mEntries, order, progress);
    aSink(std::span(page->mEntries).first(count));
    if (aOnProgress) {
      aOnProgress(progress);
    }
    more = !progress.mFault && !page->mEndReached && !page->mEntries.empty();
    from = NextKey(order.Last());
  }
  co_return progress;
}

} // namespace agatetide::coordination
