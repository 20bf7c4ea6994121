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

std::string WithEntry(const std::string& aEntry)
{
  return "{" + aEntry + "," + kValid.substr(1);
}

} // namespace

// Guards against rejecting comments, which settings files may contain.
Test(settings, accepts_json_with_comments)
{
  cr_assert(ErrorOf(kValid).empty(), "%s", ErrorOf(kValid).c_str());
}

// Guards against ignoring a misspelt key, so that its default would apply.
Test(settings, refuses_unknown_keys_and_names_them)
{
  cr_assert(ErrorOf(WithEntry("\"trust_tme_ms\": 4000")).find("trust_tme_ms") !=
            std::string::npos);
}

// Guards against a read lease so long that a withdrawn key could work for more
// than 7 s.
Test(settings, refuses_a_trust_time_above_the_bound)
{
  const std::string error = ErrorOf(WithEntry("\"trust_time_ms\": 7000"));
  cr_assert(
    error.find("trust_time_ms") != std::string::npos, "%s", error.c_str());
}
