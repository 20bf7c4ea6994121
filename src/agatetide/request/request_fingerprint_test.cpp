#include "agatetide/request/request_fingerprint.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;

namespace {

UpstreamRequest Request()
{
  UpstreamRequest request;
  request.mId = "id";
  request.mTarget = "/open/1";
  request.mAccount = "account";
  request.mBody = "body";
  return request;
}

std::string DigestOf(const UpstreamRequest& aRequest)
{
  return RequestFingerprint(aRequest, "host").Digest();
}

} // namespace

// Guards against a request that is taken for another one when it comes again
// with a new id, deadline or header.
Test(request_fingerprint, repetitions_have_the_same_digest)
{
  UpstreamRequest again = Request();
  again.mId = "other";
  again.mDeadline = TimePoint(std::chrono::hours(1));
  again.mResumeAfter = 3;
  again.mHeaders.push_back({ "last-event-id", "3" });
  cr_expect_eq(DigestOf(Request()), DigestOf(again));
  const UpstreamRequest first = Request();
  cr_expect_eq(RequestFingerprint(first, "host").ShortHash(),
               RequestFingerprint(again, "host").ShortHash());
}

// Guards against refusing the requests of one caller for those of another one,
// also if the parts run into each other.
Test(request_fingerprint, other_parts_give_other_digests)
{
  UpstreamRequest account = Request();
  account.mAccount = "accoun";
  account.mTarget = "t/open/1";
  UpstreamRequest body = Request();
  body.mBody = "bodY";
  UpstreamRequest method = Request();
  method.mMethod = "PUT";
  for (const UpstreamRequest* other : { &account, &body, &method }) {
    cr_expect_neq(DigestOf(Request()), DigestOf(*other));
  }
  const UpstreamRequest first = Request();
  cr_expect_neq(DigestOf(first), RequestFingerprint(first, "ghost").Digest());
}

// Guards against builds that compute different digests: side by side, they
// would not recognize each other's records.
Test(request_fingerprint, digest_and_hash_do_not_change)
{
  const UpstreamRequest request = Request();
  RequestFingerprint fingerprint(request, "host");
  cr_expect_str_eq(fingerprint.Digest().c_str(),
                   "1004ee91daae4dc1e708eafe8443be12");
  cr_expect_eq(fingerprint.ShortHash(), 0x2097639bce99bcbdU);
}
