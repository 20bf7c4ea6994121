#include "agatetide/policy/shutdown_admission.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

PendingRequest MakeRequest(bool aIdempotent)
{
  PendingRequest request;
  request.mIdempotent = aIdempotent;
  request.mTimeLeft = Milliseconds(3000);
  request.mTargetLatency = Milliseconds(500);
  return request;
}

} // namespace

// Guards against requests that may not be repeated and are cut by a planned
// stop, because they took longer than usual.
Test(shutdown_admission, a_non_idempotent_request_needs_all_of_its_time)
{
  const PendingRequest request = MakeRequest(false);
  cr_expect(!FitsBeforeStop(request, Milliseconds(2999)));
  cr_expect(FitsBeforeStop(request, Milliseconds(3000)));
}

// Guards against refusing requests that can be served, and against taking those
// that will usually be cut.
Test(shutdown_admission, an_idempotent_request_needs_its_usual_time)
{
  PendingRequest request = MakeRequest(true);
  cr_expect(!FitsBeforeStop(request, Milliseconds(499)));
  cr_expect(FitsBeforeStop(request, Milliseconds(500)));
  request.mUsualLatency = Milliseconds(40);
  cr_expect(FitsBeforeStop(request, Milliseconds(50)));
  request.mUsualLatency = Milliseconds(1500);
  cr_expect(!FitsBeforeStop(request, Milliseconds(1000)));
}

// Guards against refusing a request whose caller gives it little time anyway.
Test(shutdown_admission, no_request_needs_more_than_the_time_it_has)
{
  PendingRequest request = MakeRequest(true);
  request.mTimeLeft = Milliseconds(100);
  cr_expect(FitsBeforeStop(request, Milliseconds(100)));
}
