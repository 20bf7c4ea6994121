#include "agatetide/coordination/messages.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/coordination/portable_bytes.hpp"

namespace agatetide::coordination {

namespace {

constexpr std::string_view kMagic = "agt1";
constexpr size_t kMacBytes = 16;
constexpr size_t kMaxMessageBytes = size_t{ 16 } << 20U;

Error InvalidMessage(std::string_view aWhat)
{
  return { ErrorKind::InvalidArgument,
           "inter-daemon message with an invalid " + std::string(aWhat),
           "check that all daemons have the same cluster_secret and version" };
}

bool IsValid(const MemberUpdate& aUpdate)
{
  return aUpdate.mState <= MemberState::Left;
}

bool IsValid(const Datagram& aDatagram)
{
  return aDatagram.mKind <= DatagramKind::IndirectProbeRequest &&
         IsValid(aDatagram.mSender) &&
         std::all_of(
           aDatagram.mUpdates.begin(),
           aDatagram.mUpdates.end(),
           [](const MemberUpdate& aUpdate) { return IsValid(aUpdate); });
}

bool IsValid(const PeerRequest&)
{
  return true;
}

bool IsValid(const PeerReply&)
{
  return true;
}

} // namespace

template<class Message>
std::string EncodeMessage(const Message& aMessage, std::string_view aSecret)
{
  const std::string body = EncodePortable(aMessage);
  std::string bytes(kMagic);
  bytes += HmacSha256(aSecret, body).substr(0, kMacBytes);
  bytes += body;
  return bytes;
}

template<class Message>
Result<Message> DecodeMessage(std::string_view aBytes, std::string_view aSecret)
{
  if (aBytes.size() < kMagic.size() + kMacBytes ||
      aBytes.size() > kMaxMessageBytes) {
    return InvalidMessage("size");
  }
  if (aBytes.substr(0, kMagic.size()) != kMagic) {
    return InvalidMessage("magic or version");
  }
  const std::string_view mac = aBytes.substr(kMagic.size(), kMacBytes);
  const std::string_view body = aBytes.substr(kMagic.size() + kMacBytes);
  if (!ConstantTimeEqual(HmacSha256(aSecret, body).substr(0, kMacBytes), mac)) {
    return InvalidMessage("authentication code");
  }
  auto message =
    DecodePortable<Message>(body, "the message", ErrorKind::InvalidArgument);
  if (message.has_error() || !IsValid(*message)) {
    return InvalidMessage("body");
  }
  return message;
}

template std::string EncodeMessage(const Datagram&, std::string_view);
template Result<Datagram> DecodeMessage(std::string_view, std::string_view);
template std::string EncodeMessage(const PeerRequest&, std::string_view);
template Result<PeerRequest> DecodeMessage(std::string_view, std::string_view);
template std::string EncodeMessage(const PeerReply&, std::string_view);
template Result<PeerReply> DecodeMessage(std::string_view, std::string_view);

} // namespace agatetide::coordination
