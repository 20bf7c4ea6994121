#include "fuzz_store_entries.hpp"

#include "agatetide/entry/crash_records.hpp"
#include "mutation.hpp"
#include "platform/store_records.hpp"

#include <stdexcept>

namespace agatetide::fuzz {

namespace {

constexpr int kRounds = 20000;
constexpr unsigned kMaxSlots = 1000000;

constexpr std::string_view kReplica =
  R"({"service":"engine","address":"10.0.0.1:8080","zone":"z1",)"
  R"("version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":4,)"
  R"("born":1700000000000,"useSpot":false,)"
  R"("models":[{"name":"m","version":3,"adapters":[]}]})";

constexpr std::string_view kConfig =
  R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
  R"("routeType":"rollout","timeoutMs":4000,"targetLatencyMs":500,)"
  R"("maxAttempts":3,"priority":2,"dueMs":7500,"retentionS":12,)"
  R"("weightedServices":[{"service":"s","weight":0.5}]}],)"
  R"("services":[{"name":"s","engine":{"slots":8},"autoscale":{"min":1,)"
  R"("max":9,"bootS":4.5,"spotPrice":0.3,"zonePrices":{"z1":1.0}}}],)"
  R"("tenants":[{"name":"t","apiKeys":["k"],"priority":1}],)"
  R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000000,)"
  R"("idleTimeoutMs":15000}})";

constexpr std::string_view kCrash =
  R"({"account":"a","host":"h","kind":"crash","replica":"r",)"
  R"("replica_start_ms":1,"request_id":"i","short_hash":"ff",)"
  R"("software":["s@v1"],"target":"/1"})";

coordination::StoreEntry MakeEntry(std::string aKey, std::string aValue)
{
  coordination::StoreEntry entry;
  entry.mKey = std::move(aKey);
  entry.mValue = std::move(aValue);
  return entry;
}

void CheckReplica(const fleet::Replica& aReplica)
{
  const bool valid = aReplica.mSlots > 0 && aReplica.mSlots <= kMaxSlots &&
                     aReplica.mEndpoint.mPort != 0 &&
                     !aReplica.mService.empty();
  if (!valid) {
    throw std::runtime_error("an invalid replica was accepted");
  }
}

void CheckRoute(const fleet::Route& aRoute)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (aRoute.mMaxAttempts == 0 || now + aRoute.mTimeout < now ||
      now + aRoute.mResultTimeout < now || now + aRoute.mItemLifetime < now) {
    throw std::runtime_error("a route with an invalid number was accepted");
  }
}

std::string CrashKey()
{
  return std::string(entry::kCrashPrefix) + std::string(32, 'a') +
         "/17579398737306435604";
}

void CheckValidEntries()
{
  const bool decoded =
    adapter::DecodeReplica(MakeEntry("servers/id", std::string(kReplica)))
      .has_value() &&
    adapter::DecodeOperatorEntry(MakeEntry("op/config", std::string(kConfig)))
      .has_value() &&
    entry::DecodeCrashRecord(MakeEntry(CrashKey(), std::string(kCrash)))
      .has_value();
  if (!decoded) {
    throw std::runtime_error("a valid entry was refused");
  }
}

} // namespace

std::string FuzzStoreEntries(uint64_t aSeed)
{
  Mutator mutator(aSeed);
  CheckValidEntries();
  size_t refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto replica = adapter::DecodeReplica(MakeEntry(
      std::string(adapter::kReplicaPrefix) + "id", mutator.Mutate(kReplica)));
    if (replica.has_value()) {
      CheckReplica(*replica);
    }
    const auto config = adapter::DecodeOperatorEntry(
      MakeEntry("op/config", mutator.Mutate(kConfig)));
    if (config.has_value() && config->mConfig) {
      for (const fleet::Route& route : config->mConfig->mRoutes) {
        CheckRoute(route);
      }
    }
    const auto crash =
      entry::DecodeCrashRecord(MakeEntry(CrashKey(), mutator.Mutate(kCrash)));
    refused += (replica.has_error() ? 1 : 0) + (config.has_error() ? 1 : 0) +
               (crash.has_error() ? 1 : 0);
  }
  return std::to_string(refused) + " of " + std::to_string(3 * kRounds) +
         " refused";
}

} // namespace agatetide::fuzz
