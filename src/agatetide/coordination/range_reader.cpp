#include "agatetide/coordination/range_reader.hpp"

#include <utility>

namespace agatetide::coordination {

namespace {

/// A reply holds at least this many entries if there are as many, and what the
/// store returned with them: one page.
constexpr int64_t kOnePage = 1;

/// Counts the entries of a page and notes the first fault.
void TakePage(const StoreReply& aPage,
              PageOrder& aOrder,
              RangeProgress& aProgress)
{
  ++aProgress.mPages;
  aProgress.mEntries += aPage.mEntries.size();
  for (const StoreEntry& entry : aPage.mEntries) {
    aProgress.mBytes +=
      entry.mKey.size() + entry.mValue.size() + entry.mOmittedBytes;
    auto fault = aOrder.Take(entry.mKey);
    if (fault && !aProgress.mFault) {
      aProgress.mFault = std::move(fault);
    }
  }
  aProgress.mLastKey = aOrder.Last();
}

/// A key that sorts after aKey and before all that continue it with a printable
/// character. Daemons of earlier builds take '\0' for another key.
std::string NextKey(const std::string& aKey)
{
  return aKey + '\x01';
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
    auto page = co_await aStore(std::move(request));
    if (page.has_error()) {
      co_return page.error();
    }
    if (progress.mPages == 0) {
      progress.mRevision = page->mRevision;
    }
    const bool isEnd = page->mEndReached || page->mEntries.empty();
    TakePage(*page, order, progress);
    std::erase_if(page->mEntries, [&](const StoreEntry& aEntry) {
      return !aEntry.mKey.starts_with(order.Prefix());
    });
    aSink(page->mEntries);
    if (aOnProgress) {
      aOnProgress(progress);
    }
    progress.mIsComplete = isEnd && (!progress.mFault || progress.mPages == 1);
    more = !isEnd && !progress.mFault;
    from = NextKey(order.Last());
  }
  co_return progress;
}

} // namespace agatetide::coordination
