#include "agatetide/request/request_fingerprint.hpp"

#include "agatetide/base/encoding.hpp"

namespace agatetide::request {

namespace {

constexpr size_t kDigestBytes = 16;

} // namespace

RequestFingerprint::RequestFingerprint(const UpstreamRequest& aRequest,
                                       std::string_view aHttpHost)
  : mRequest(aRequest)
  , mHttpHost(aHttpHost)
{
}

/// All parts but the body, each with its length, so that no two lists of parts
/// give the same text.
std::string RequestFingerprint::Head() const
{
  std::string head;
  for (const std::string* part : { &mRequest.mAccount,
                                   &mHttpHost,
                                   &mRequest.mMethod,
                                   &mRequest.mTarget }) {
    head += std::to_string(part->size()) + ":" + *part;
  }
  return head + std::to_string(mRequest.mBody.size());
}

uint64_t RequestFingerprint::ShortHash()
{
  if (!mShortHash) {
    mShortHash = Hash64(Head());
  }
  return *mShortHash;
}

const std::string& RequestFingerprint::Digest()
{
  if (mDigest.empty()) {
    const std::string digest = Sha256(Head() + Sha256(mRequest.mBody));
    mDigest = HexEncode(std::string_view(digest).substr(0, kDigestBytes));
  }
  return mDigest;
}

} // namespace agatetide::request
