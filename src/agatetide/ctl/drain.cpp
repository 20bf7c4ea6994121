#include "agatetide/ctl/objects.hpp"

#include <algorithm>
#include <iostream>

namespace agatetide::ctl {

namespace {

/// Sets or clears the mark "leaving" of the replicas that match.
Result<int> SetLeaving(const Session& aSession,
                       v1::ListedObject aUpstream,
                       const std::function<bool(const v1::Replica&)>& aMatches,
                       const Arguments& aArguments)
{
  const bool leaving = !aArguments.Has("undo");
  size_t changed = 0;
  for (v1::Replica& replica :
       *aUpstream.mutable_value()->mutable_upstream()->mutable_replicas()) {
    if (aMatches(replica) && replica.leaving() != leaving) {
      replica.set_leaving(leaving);
      ++changed;
    }
  }
  if (changed == 0) {
    std::cerr
      << "nothing to change: no matching replica, or all are as requested\n";
    return Success;
  }
  const auto put = PutObject(aSession, aUpstream.value(), aUpstream.version());
  if (put.has_error()) {
    Error error = put.error();
    if (error.mKind == ErrorKind::Conflict) {
      error.mRemedy = "another operator changed the upstream: check it with "
                      "agatetidectl upstreams list, then repeat the command";
    }
    return error;
  }
  PrintChange(*put, aArguments);
  return Success;
}

Result<int> DrainReplica(const Session& aSession, const Arguments& aArguments)
{
  const std::string address = aArguments.Positional(1);
  const auto matches = [&](const v1::Replica& aReplica) {
    return aReplica.address() == address;
  };
  const auto list = ListObjects(aSession, "upstream");
  if (list.has_error()) {
    return list.error();
  }
  for (const v1::ListedObject& listed : list->objects()) {
    const auto& replicas = listed.value().upstream().replicas();
    if (std::any_of(replicas.begin(), replicas.end(), matches)) {
      return SetLeaving(aSession, listed, matches, aArguments);
    }
  }
  return Error{ ErrorKind::NotFound,
                "no upstream has replica " + address,
                "see agatetidectl status" };
}

Result<int> DrainZone(const Session& aSession, const Arguments& aArguments)
{
  const std::string zone = aArguments.Positional(2);
  if (zone.empty()) {
    return UsageError("the availability zone is missing");
  }
  const auto upstream =
    ReadObject(aSession, "upstream", aArguments.Positional(1));
  if (upstream.has_error()) {
    return upstream.error();
  }
  if (upstream->version() == 0) {
    return Error{ ErrorKind::NotFound,
                  "there is no upstream named " + aArguments.Positional(1),
                  "see agatetidectl upstreams list" };
  }
  return SetLeaving(
    aSession,
    *upstream,
    [&](const v1::Replica& aReplica) {
      return aReplica.availability_zone() == zone;
    },
    aArguments);
}

Result<int> RunDrain(const Session& aSession, const Arguments& aArguments)
{
  const std::string target = aArguments.Positional(0);
  if (aArguments.Positional(1).empty()) {
    return UsageError("expected replica ADDRESS or zone UPSTREAM ZONE");
  }
  if (target == "replica") {
    return DrainReplica(aSession, aArguments);
  }
  return target == "zone"
           ? DrainZone(aSession, aArguments)
           : Result<int>(UsageError("unknown drain target \"" + target +
                                    "\", expected replica or zone"));
}

} // namespace

std::vector<Command> DrainCommands()
{
  Command command;
  command.mName = "drain";
  command.mSummary = "Mark replicas as leaving, so that they get no new work";
  command.mForms = { "replica ADDRESS", "zone UPSTREAM ZONE" };
  command.mVerbs = { "replica", "zone" };
  command.mOptions = { { "undo", "", "Clear the mark" } };
  command.mRun = RunDrain;
  return { command };
}

} // namespace agatetide::ctl
