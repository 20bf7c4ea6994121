#include "agatetide/entry/stream_origins.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <variant>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::entry;
using request::StreamOrigin;
namespace asio = boost::asio;

namespace {

const StreamOrigin kOld{ "service", "v1" };
const StreamOrigin kNew{ "service", "v2" };

/// One daemon; several of them share a store.
struct Daemon
{
  explicit Daemon(FaultyStore& aStore)
    : mStore(aStore)
  {
  }

  bool Record(const std::string& aId, const StreamOrigin& aOrigin)
  {
    return Run(mOrigins.Record("host", aId, aOrigin)).has_value();
  }

  Result<StreamOrigin> Find(const std::string& aId)
  {
    return Run(mOrigins.Find("host", aId));
  }

  template<class T>
  T Run(Awaitable<T> aAwaitable)
  {
    std::optional<T> result;
    asio::co_spawn(mContext,
                   std::move(aAwaitable),
                   [&](const std::exception_ptr&, T aResult) {
                     result.emplace(std::move(aResult));
                   });
    mContext.run();
    mContext.restart();
    return std::move(result.value());
  }

  FaultyStore& mStore;
  asio::io_context mContext;
  StreamOrigins mOrigins{ mContext.get_executor(),
                          mStore.AsCall(),
                          mStore.mClock.AsClock() };
};

} // namespace

// Guards against streams that go on at another software version after all
// daemons were restarted.
Test(stream_origins, a_daemon_without_memory_finds_where_a_stream_began)
{
  FaultyStore store;
  Daemon before(store);
  cr_assert(before.Record("old", kOld));
  cr_assert(before.Record("new", kNew));
  Daemon after(store);
  cr_expect(*after.Find("old") == kOld);
  cr_expect(*after.Find("new") == kNew);
}

// Guards against two default origins when daemons that see different replicas
// first serve a stream at the same time.
Test(stream_origins, two_daemons_agree_on_the_default_origin)
{
  FaultyStore store;
  Daemon first(store);
  Daemon second(store);
  bool raced = false;
  store.mBeforeCall = [&](const StoreRequest& aRequest) {
    if (std::holds_alternative<TransactionRequest>(aRequest) && !raced) {
      raced = true;
      cr_assert(second.Record("b", kNew));
    }
  };
  cr_assert(first.Record("a", kOld));
  Daemon after(store);
  cr_expect(*after.Find("a") == kOld);
  cr_expect(*after.Find("b") == kNew);
}

// Guards against store writes for each stream while one software version
// serves.
Test(stream_origins, streams_of_the_default_origin_cost_no_store_call)
{
  FaultyStore store;
  Daemon daemon(store);
  cr_assert(daemon.Record("first", kOld));
  int calls = 0;
  store.mBeforeCall = [&](const StoreRequest&) { ++calls; };
  cr_expect(daemon.Record("second", kOld));
  cr_expect_eq(calls, 0);
}

// Guards against delivering a stream whose origin is not stored: it would later
// be taken for one of the default origin.
Test(stream_origins, a_stream_is_not_recorded_while_the_store_is_down)
{
  FaultyStore store;
  Daemon daemon(store);
  cr_assert(daemon.Record("first", kOld));
  store.mDefaultFault = StoreFault::Down;
  cr_expect_not(daemon.Record("second", kNew));
  cr_expect(daemon.Find("second").has_error());
  store.mDefaultFault = StoreFault::None;
  cr_expect(daemon.Record("third", kNew));
}

// Guards against failing a stream because of a lost reply, or an expired lease.
Test(stream_origins, a_lost_reply_or_lease_is_repeated)
{
  FaultyStore store;
  Daemon daemon(store);
  cr_assert(daemon.Record("first", kOld));
  store.mNextFaults = { StoreFault::None, StoreFault::AnswerLost };
  cr_expect(daemon.Record("second", kNew));
  cr_expect(*daemon.Find("second") == kNew);
  store.mClock.Advance(std::chrono::seconds(250));
  store.mNextFaults = { StoreFault::RequestLost };
  cr_expect(daemon.Record("third", kNew));
  cr_expect(*daemon.Find("third") == kNew);
}

// Guards against a malformed entry that is taken for some origin.
Test(stream_origins, a_malformed_entry_names_no_origin)
{
  FaultyStore store;
  Daemon daemon(store);
  cr_assert(daemon.Record("first", kOld));
  TransactionRequest write;
  write.mPuts.push_back({ "agatetide/stream/bad", "[]", 0 });
  store.mStore.Apply(write);
  cr_expect(daemon.Find("bad").has_error());
}

// Guards against a host that continues a stream at the default origin because
// it has not heard of the replicas where it began: the store knows.
Test(stream_origins, unnamed_requests_need_streams_of_one_origin)
{
  FaultyStore store;
  Daemon first(store);
  Daemon second(store);
  cr_assert(first.Record("old", kOld));
  cr_expect(*first.Find("") == kOld);
  cr_assert(second.Record("new", kNew));
  cr_expect(first.Find("").has_error());
  cr_expect(*first.Find("old") == kOld);
}

// Guards against an end of that knowledge before the entries of the streams
// end.
Test(stream_origins, the_mark_of_other_origins_lives_as_long_as_their_streams)
{
  FaultyStore store;
  Daemon daemon(store);
  cr_assert(daemon.Record("old", kOld));
  for (int i = 0; i < 8; ++i) {
    cr_assert(daemon.Record("new-" + std::to_string(i), kNew));
    store.mClock.Advance(std::chrono::seconds(100));
    cr_expect(daemon.Find("").has_error());
  }
  store.mClock.Advance(std::chrono::seconds(190));
  cr_expect(daemon.Find("").has_error());
}
