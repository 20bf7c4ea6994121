#include "agatetide/ctl/objects.hpp"
#include "agatetide/ctl/output.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/random.hpp"

#include <iostream>
#include <thread>

namespace agatetide::ctl {

namespace {

Result<v1::GrantKeyResponse> Grant(const Session& aSession,
                                   const std::string& aAccount)
{
  v1::GrantKeyRequest request;
  request.set_account(aAccount);
  request.set_change_id(SecureHex(8));
  return aSession.Invoke<v1::GrantKeyResponse>("Admin/GrantKey", request);
}

Result<v1::PutResponse> Withdraw(const Session& aSession,
                                 const std::string& aId)
{
  v1::WithdrawKeyRequest request;
  request.set_id(aId);
  request.set_change_id(SecureHex(8));
  return aSession.Invoke<v1::PutResponse>("Admin/WithdrawKey", request);
}

void PrintGranted(const v1::GrantKeyResponse& aGranted,
                  const Arguments& aArguments)
{
  if (aArguments.mJson) {
    PrintJson(aGranted);
  } else {
    std::cout << "key " << aGranted.key() << "\nid " << aGranted.id()
              << "\nstore the key now: it cannot be shown again\n";
  }
  // Flush now, so that the operator gets the key even if a later step fails.
  std::cout.flush();
}

/// Returns the id of the account's only valid key, which a rotation replaces.
/// Errors: those of UsageError() unless there is exactly one.
Result<std::string> FindKeyToReplace(const Session& aSession,
                                     const std::string& aAccount)
{
  const auto list = ListObjects(aSession, "key");
  if (list.has_error()) {
    return list.error();
  }
  std::vector<std::string> valid;
  std::string ids;
  for (const v1::ListedObject& listed : list->objects()) {
    const v1::Key& key = listed.value().key();
    if (key.account() == aAccount && !key.withdrawn()) {
      valid.push_back(key.id());
      ids += " " + key.id();
    }
  }
  if (valid.size() != 1) {
    return UsageError("account " + aAccount + " has " +
                      std::to_string(valid.size()) +
                      " valid keys; name the one to replace with --old:" + ids);
  }
  return valid.front();
}

Result<int> Rotate(const Session& aSession, const Arguments& aArguments)
{
  const std::string account = aArguments.Positional(1);
  const auto wait =
    ParseNumber("--withdraw-after", aArguments.Value("withdraw-after", "0"));
  if (wait.has_error()) {
    return wait.error();
  }
  const auto old = aArguments.Has("old")
                     ? Result<std::string>(aArguments.Value("old"))
                     : FindKeyToReplace(aSession, account);
  if (old.has_error()) {
    return old.error();
  }
  const auto granted = Grant(aSession, account);
  if (granted.has_error()) {
    return granted.error();
  }
  PrintGranted(*granted, aArguments);
  if (!aArguments.Has("withdraw-after")) {
    std::cerr << "both keys are valid; when the callers use the new one, run: "
                 "agatetidectl keys withdraw "
              << *old << "\n";
    return Success;
  }
  std::this_thread::sleep_for(std::chrono::seconds(*wait));
  const auto withdrawn = Withdraw(aSession, *old);
  if (withdrawn.has_error()) {
    Error error = withdrawn.error();
    error.mRemedy = "the new key is valid; run agatetidectl keys withdraw " +
                    *old + " (" + error.mRemedy + ")";
    return error;
  }
  PrintChange(*withdrawn, aArguments);
  return Success;
}

Result<int> RunKeys(const Session& aSession, const Arguments& aArguments)
{
  const std::string verb = aArguments.Positional(0);
  if (verb.empty() || verb == "list") {
    const auto list = ListObjects(aSession, "key");
    if (list.has_error()) {
      return list.error();
    }
    if (aArguments.mJson) {
      PrintJson(*list);
    } else {
      std::cout << ObjectTable(*list).Text();
    }
    return Success;
  }
  if (aArguments.Positional(1).empty()) {
    return UsageError("the account or key id is missing");
  }
  if (verb == "grant") {
    const auto granted = Grant(aSession, aArguments.Positional(1));
    if (granted.has_error()) {
      return granted.error();
    }
    PrintGranted(*granted, aArguments);
    return Success;
  }
  if (verb == "withdraw") {
    const auto withdrawn = Withdraw(aSession, aArguments.Positional(1));
    if (withdrawn.has_error()) {
      return withdrawn.error();
    }
    PrintChange(*withdrawn, aArguments);
    return Success;
  }
  return verb == "rotate" ? Rotate(aSession, aArguments)
                          : Result<int>(UsageError(
                              "unknown verb \"" + verb +
                              "\", expected list, grant, withdraw or rotate"));
}

} // namespace

std::vector<Command> KeyCommands()
{
  Command command;
  command.mName = "keys";
  command.mSummary = "Keys of client accounts";
  command.mForms = { "list", "grant ACCOUNT", "withdraw ID", "rotate ACCOUNT" };
  command.mVerbs = { "list", "grant", "withdraw", "rotate" };
  command.mOptions = {
    { "old",
      "ID",
      "Key that rotate replaces; needed if the account has several" },
    { "withdraw-after",
      "SECONDS",
      "Time after which rotate withdraws the old key. By default both keys "
      "stay valid until you run keys withdraw" },
  };
  command.mRun = RunKeys;
  return { command };
}

} // namespace agatetide::ctl
