#include "agatetide/policy/staleness.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;
using std::chrono::seconds;

// Guards against delivering stale samples, whose oldest version counts, and
// samples whose versions are unknown.
Test(staleness, oldest_version_decides)
{
  const uint64_t mixed[] = { 4, 5 };
  const uint64_t unlabelled[] = { 0 };
  cr_assert(MayDeliver(mixed, 5, 1));
  cr_assert(!MayDeliver(mixed, 6, 1));
  cr_assert(MayDeliver(mixed, 4, 0));
  cr_assert(MayDeliver(mixed, 900, std::nullopt));
  cr_assert(!MayDeliver(unlabelled, 1, std::nullopt));
  cr_assert(!MayDeliver({}, 1, 5));
}

// Guards against samples that start on an old version and are too stale when
// they finish, and against waits that cannot help.
Test(staleness, waits_for_the_swap_when_the_finish_would_be_stale)
{
  cr_assert(ShouldStartSample({ 4, 5, 1, 0 }));
  cr_assert(!ShouldStartSample({ 4, 5, 1, 1 }));
  cr_assert(!ShouldStartSample({ 3, 5, 1, 0 }));
  cr_assert(ShouldStartSample({ 5, 5, 1, 3 }));
}

// Guards against a rate estimated from one version, and against endless waits
// when the next version is overdue.
Test(staleness, learns_the_interval_between_versions)
{
  VersionRate rate;
  const TimePoint start{};
  rate.Observe(1, start);
  cr_assert(rate.ExpectedVersions(seconds(100), start) == 0);
  rate.Observe(2, start + seconds(10));
  cr_assert(rate.ExpectedVersions(seconds(4), start + seconds(15)) == 0);
  cr_assert(rate.ExpectedVersions(seconds(6), start + seconds(15)) == 1);
  cr_assert(rate.ExpectedVersions(seconds(6), start + seconds(50)) == 0);
}
