#include "agatetide/daemon/settings.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::daemon;

namespace {

const std::string kValid = R"({
  // Addresses of this host.
  "listen": { "callers": "127.0.1.1:7000", "daemons": "127.0.1.1:7100" },
  "availability_zone": "midlands-a", "region": "midlands",
  "store": ["127.0.0.1:2379"],
  "cluster_secret": "0123456789abcdef" /* shared by all daemons */
})";

std::string ErrorOf(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_CHECK(ParseSettings(aText));
      return std::string();
    },
    [](const Error& aError) { return FormatError(aError); },
    [] { return std::string("unknown error"); });
}

std::string With(const std::string& aEntry)
{
  return "{" + aEntry + "," + kValid.substr(1);
}

} // namespace

// Guards against refusing comments, which operators are told to use.
Test(settings, accepts_json_with_comments)
{
  cr_assert(ErrorOf(kValid).empty(), "%s", ErrorOf(kValid).c_str());
}

// Guards against a misspelt key that silently leaves a default in force.
Test(settings, refuses_unknown_keys_and_names_them)
{
  cr_assert(ErrorOf(With("\"trust_tme_ms\": 4000")).find("trust_tme_ms") !=
            std::string::npos);
}

// Guards against a trust time that would break the key withdrawal bound.
Test(settings, refuses_a_trust_time_above_the_bound)
{
  const std::string error = ErrorOf(With("\"trust_time_ms\": 7000"));
  cr_assert(
    error.find("trust_time_ms") != std::string::npos, "%s", error.c_str());
}
