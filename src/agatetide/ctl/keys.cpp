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
              << "\nthe key is shown only here\n";
  }
  // The key must reach its reader even if a later step fails.
  std::cout.flush();
}

/// The account's one valid key that a rotation replaces.
Result<std::string> OldKey(const Session& aSession, const std::string& aAccount)
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
  const std::string account = aArguments.At(1);
  const auto wait =
    ParseNumber("--withdraw-after", aArguments.Value("withdraw-after", "0"));
  if (wait.has_error()) {
    return wait.error();
  }
  const auto old = aArguments.Has("old")
                     ? Result<std::string>(aArguments.Value("old"))
                     : OldKey(aSession, account);
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
    return Normal;
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
  return Normal;
}

Result<int> RunKeys(const Session& aSession, const Arguments& aArguments)
{
  const std::string verb = aArguments.At(0);
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
    return Normal;
  }
  if (aArguments.At(1).empty()) {
    return UsageError("the account or key id is missing");
  }
  if (verb == "grant") {
    const auto granted = Grant(aSession, aArguments.At(1));
    if (granted.has_error()) {
      return granted.error();
    }
    PrintGranted(*granted, aArguments);
    return Normal;
  }
  if (verb == "withdraw") {
    const auto withdrawn = Withdraw(aSession, aArguments.At(1));
    if (withdrawn.has_error()) {
      return withdrawn.error();
    }
    PrintChange(*withdrawn, aArguments);
    return Normal;
  }
  return verb == "rotate"
           ? Rotate(aSession, aArguments)
           : Result<int>(UsageError(
               "\"" + verb + "\" is not list, grant, withdraw or rotate"));
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
    { "old", "ID", "Key that rotate replaces, if the account has several" },
    { "withdraw-after",
      "SECONDS",
      "Let rotate withdraw the old key after this time. Without it both keys "
      "stay valid until keys withdraw" },
  };
  command.mRun = RunKeys;
  return { command };
}

} // namespace agatetide::ctl
