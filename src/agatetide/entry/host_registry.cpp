#include "agatetide/entry/host_registry.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace agatetide::entry {

using namespace coordination;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kLiveWatchTimeout{ 2500 };

std::string Encode(const fleet::EntryHost& aHost)
{
  return json{
    { "address", aHost.mAddress },
    { "peer_address", aHost.mPeerAddress },
    { "availability_zone", aHost.mAvailabilityZone },
    { "region", aHost.mRegion },
    { "incarnation", aHost.mIncarnation },
    { "draining", aHost.mDraining },
    { "cut_off", aHost.mCutOff },
    { "request_limits", aHost.mRequestLimits }
  }.dump();
}

std::map<std::string, double, std::less<>> DecodeRequestLimits(
  const json& aHost)
{
  std::map<std::string, double, std::less<>> limits;
  const auto found = aHost.find("request_limits");
  if (found != aHost.end() && found->is_object()) {
    for (const auto& [replica, limit] : found->items()) {
      limits[replica] = limit.is_number() ? limit.get<double>() : 0.0;
    }
  }
  return limits;
}

std::optional<fleet::EntryHost> Decode(const StoreEntry& aEntry)
{
  const json value = json::parse(aEntry.mValue, nullptr, false);
  if (!aEntry.mKey.starts_with(fleet::kLiveHostPrefix)) {
    return std::nullopt;
  }
  const auto text = [&](const char* aName) {
    const auto found = value.find(aName);
    return found != value.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
  };
  if (!value.is_object() || text("address").empty()) {
    return std::nullopt;
  }
  fleet::EntryHost host;
  host.mName = aEntry.mKey.substr(fleet::kLiveHostPrefix.size());
  host.mAddress = text("address");
  host.mPeerAddress = text("peer_address");
  host.mAvailabilityZone = text("availability_zone");
  host.mRegion = text("region");
  host.mIncarnation = text("incarnation");
  host.mDraining = value.value("draining", json(false)) == json(true);
  host.mCutOff = value.value("cut_off", json(false)) == json(true);
  host.mRequestLimits = DecodeRequestLimits(value);
  return host;
}

/// Whether two registrations of one incarnation say the same.
bool SameState(const fleet::EntryHost& aLeft, const fleet::EntryHost& aRight)
{
  return aLeft.mDraining == aRight.mDraining &&
         aLeft.mCutOff == aRight.mCutOff &&
         aLeft.mRequestLimits == aRight.mRequestLimits;
}

} // namespace

HostRegistry::HostRegistry(HostRegistryOptions aOptions,
                           fleet::EntryHost aSelf,
                           fleet::FleetView& aView,
                           StoreCall aStore,
                           WatchCall aWatch,
                           Clock aClock)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mView(aView)
  , mStore(std::move(aStore))
  , mWatch(std::move(aWatch))
  , mClock(std::move(aClock))
{
}

Awaitable<bool> HostRegistry::Renew()
{
  if (mLeaseId != 0) {
    StoreRequest request = LeaseKeepAliveRequest{ mLeaseId };
    const auto renewed = co_await mStore(std::move(request));
    if (renewed.has_error()) {
      co_return false;
    }
    if (renewed->mTtlSeconds > 0) {
      if (SameState(mPublished, mSelf)) {
        co_return true;
      }
      co_return co_await WriteRegistration(mLeaseId);
    }
    mLeaseId = 0;
    mAnnouncedSince.clear();
  }
  StoreRequest grant = LeaseGrantRequest{ mOptions.mTtlSeconds };
  const auto granted = co_await mStore(std::move(grant));
  if (granted.has_error()) {
    co_return false;
  }
  const bool written = co_await WriteRegistration(granted->mLeaseId);
  if (written) {
    mLeaseId = granted->mLeaseId;
    LogEvent("host_registered").Field("host", mSelf.mName).Write();
  }
  co_return written;
}

Awaitable<bool> HostRegistry::WriteRegistration(int64_t aLeaseId)
{
  TransactionRequest put;
  put.mPuts.push_back({ std::string(fleet::kLiveHostPrefix) + mSelf.mName,
                        Encode(mSelf),
                        aLeaseId });
  StoreRequest request = std::move(put);
  const fleet::EntryHost registration = mSelf;
  const auto written = co_await mStore(std::move(request));
  if (written.has_error() || !written->mSucceeded) {
    co_return false;
  }
  mPublished = registration;
  std::erase_if(mAnnouncedSince, [&](const auto& aItem) {
    return !registration.mRequestLimits.contains(aItem.first);
  });
  for (const auto& [replica, limit] : registration.mRequestLimits) {
    mAnnouncedSince.try_emplace(replica, mClock());
  }
  co_return true;
}

void HostRegistry::AnnounceRequestLimits(
  std::map<std::string, double, std::less<>> aLimits)
{
  mSelf.mRequestLimits = std::move(aLimits);
}

void HostRegistry::AnnounceCutOff(bool aCutOff)
{
  mSelf.mCutOff = aCutOff;
  UpdateView();
}

std::set<std::string, std::less<>> HostRegistry::AnnouncedReplicas() const
{
  std::set<std::string, std::less<>> replicas;
  for (const auto& [replica, since] : mAnnouncedSince) {
    if (mSelf.mRequestLimits.contains(replica) &&
        mClock() - since >= mOptions.mAnnouncementDelay) {
      replicas.insert(replica);
    }
  }
  return replicas;
}

Awaitable<void> HostRegistry::BeginDrain()
{
  mSelf.mDraining = true;
  UpdateView();
  if (mLeaseId != 0) {
    co_await WriteRegistration(mLeaseId);
  }
}

Awaitable<void> HostRegistry::MaintainRegistration()
{
  constexpr Milliseconds kRetryDelay{ 300 };
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (!mDeregistered) {
    const bool renewed = co_await Renew();
    timer.expires_after(renewed ? mOptions.mRenewInterval : kRetryDelay);
    co_await timer.async_wait(boost::asio::use_awaitable);
    UpdateView();
  }
}

Awaitable<void> HostRegistry::Deregister()
{
  mDeregistered = true;
  if (mLeaseId != 0) {
    StoreRequest request = LeaseRevokeRequest{ mLeaseId };
    co_await mStore(std::move(request));
  }
}

Awaitable<void> HostRegistry::WatchHosts()
{
  PrefixWatchOptions options;
  options.mPrefix = fleet::kLivePrefix;
  options.mMaxWait = kLiveWatchTimeout;
  PrefixWatchHooks hooks = MakeWatchHooks();
  co_await WatchPrefix(
    std::move(options), std::move(hooks), mStore, mWatch, mClock);
}

PrefixWatchHooks HostRegistry::MakeWatchHooks()
{
  PrefixWatchHooks hooks;
  hooks.mOnListStart = [this] {
    mListed.clear();
    mListedLeader.clear();
    if (mOnListStart) {
      mOnListStart();
    }
  };
  hooks.mOnPage = [this](std::span<const StoreEntry> aEntries) {
    PutPage(aEntries);
    if (mOnPage) {
      mOnPage(aEntries);
    }
  };
  hooks.mOnListEnd = [this] {
    EndList();
    if (mOnListEnd) {
      mOnListEnd();
    }
  };
  hooks.mOnPartialList = [this] { EndPartialList(); };
  hooks.mOnChange = [this](const StoreChange& aChange) {
    ApplyChange(aChange);
    if (mOnChange) {
      mOnChange(aChange);
    }
  };
  return hooks;
}

void HostRegistry::PutPage(std::span<const StoreEntry> aEntries)
{
  for (const StoreEntry& entry : aEntries) {
    if (entry.mKey == fleet::kLiveLeaderKey) {
      mListedLeader = entry.mValue;
    }
    if (auto host = Decode(entry)) {
      std::string name = host->mName;
      mListed.insert_or_assign(std::move(name), std::move(*host));
    }
  }
}

void HostRegistry::EndList()
{
  const auto previous = std::exchange(mRegistered, std::exchange(mListed, {}));
  for (const auto& [name, host] : previous) {
    if (!mRegistered.contains(name)) {
      mExpired[name] = { host, mClock() + mOptions.mRemovalDelay };
    }
  }
  mView.SetLeader(std::exchange(mListedLeader, {}));
  UpdateView();
}

/// Hosts that are missing may be on pages that could not be read.
void HostRegistry::EndPartialList()
{
  for (auto& [name, host] : mListed) {
    mRegistered.insert_or_assign(name, std::move(host));
  }
  mListed.clear();
  if (!mListedLeader.empty()) {
    mView.SetLeader(std::exchange(mListedLeader, {}));
  }
  UpdateView();
}

void HostRegistry::ApplyChange(const StoreChange& aChange)
{
  const std::string& key = aChange.mEntry.mKey;
  if (key == fleet::kLiveLeaderKey) {
    mView.SetLeader(aChange.mRemoved ? std::string() : aChange.mEntry.mValue);
    return;
  }
  if (!key.starts_with(fleet::kLiveHostPrefix)) {
    return;
  }
  const std::string name = key.substr(fleet::kLiveHostPrefix.size());
  if (aChange.mRemoved) {
    const auto found = mRegistered.find(name);
    if (found != mRegistered.end()) {
      mExpired[name] = { found->second, mClock() + mOptions.mRemovalDelay };
      mRegistered.erase(found);
    }
  } else if (auto host = Decode(aChange.mEntry)) {
    mRegistered.insert_or_assign(name, std::move(*host));
  }
  UpdateView();
}

void HostRegistry::UpdateView()
{
  std::erase_if(mExpired, [&](const auto& aItem) {
    return mRegistered.contains(aItem.first) || mClock() >= aItem.second.second;
  });
  auto hosts = mRegistered;
  // A single host that disappears is dead; many at once probably still run.
  if (mExpired.size() > 1 && mExpired.size() >= mRegistered.size()) {
    for (const auto& [name, expired] : mExpired) {
      hosts.try_emplace(name, expired.first);
    }
  }
  if (!mDeregistered) {
    hosts.insert_or_assign(mSelf.mName, mSelf);
  }
  bool changed = hosts.size() != mView.Hosts().size();
  for (const auto& [name, host] : hosts) {
    const auto known = mView.Hosts().find(name);
    changed = changed || known == mView.Hosts().end() ||
              known->second.mIncarnation != host.mIncarnation ||
              !SameState(known->second, host);
  }
  if (changed) {
    mView.SetHosts(std::move(hosts));
  }
}

} // namespace agatetide::entry
