#include "agatetide/process/listen_addresses.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <thread>

namespace agatetide::process {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

/// Binds a socket as the server will, and closes it.
ErrorCode TryTcp(const asio::ip::address& aAddress, uint16_t aPort)
{
  asio::io_context context;
  const asio::ip::tcp::endpoint endpoint(aAddress, aPort);
  asio::ip::tcp::acceptor acceptor(context);
  ErrorCode error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  return error;
}

ErrorCode TryUdp(const asio::ip::address& aAddress, uint16_t aPort)
{
  asio::io_context context;
  const asio::ip::udp::endpoint endpoint(aAddress, aPort);
  asio::ip::udp::socket socket(context);
  ErrorCode error;
  socket.open(endpoint.protocol(), error);
  if (!error) {
    socket.bind(endpoint, error);
  }
  return error;
}

std::string Format(const ListenAddress& aAddress)
{
  return aAddress.mAddress + ":" + std::to_string(aAddress.mPort);
}

/// Returns the first address that cannot be used, with the error.
std::optional<std::pair<const ListenAddress*, Error>> FindTaken(
  std::span<const ListenAddress> aAddresses)
{
  for (const ListenAddress& address : aAddresses) {
    const auto usable = CheckAddress(address);
    if (usable.has_error()) {
      return std::pair(&address, usable.error());
    }
  }
  return std::nullopt;
}

} // namespace

Result<bool> CheckAddress(const ListenAddress& aAddress)
{
  if (aAddress.mPort == 0) {
    return true;
  }
  ErrorCode error;
  const auto address = asio::ip::make_address(aAddress.mAddress, error);
  if (error) {
    return Error{ ErrorKind::InvalidArgument,
                  "\"" + aAddress.mAddress + "\" is not an IP address",
                  "use an IP address of this host" };
  }
  error = TryTcp(address, aAddress.mPort);
  if (!error && aAddress.mTransport == Transport::TcpAndUdp) {
    error = TryUdp(address, aAddress.mPort);
  }
  if (!error) {
    return true;
  }
  const bool inUse = error == asio::error::address_in_use;
  return Error{
    inUse ? ErrorKind::Unavailable : ErrorKind::Internal,
    "cannot listen on " + Format(aAddress) + ": " + error.message(),
    "stop the process that uses the address or choose another one"
  };
}

Result<bool> WaitForAddresses(std::span<const ListenAddress> aAddresses,
                              const AddressWaitOptions& aOptions)
{
  const TimePoint started = std::chrono::steady_clock::now();
  const TimePoint deadline = started + aOptions.mPatience;
  const ListenAddress* logged = nullptr;
  for (;;) {
    const auto taken = FindTaken(aAddresses);
    if (!taken) {
      return true;
    }
    const bool passes = taken->second.mKind == ErrorKind::Unavailable;
    if (!passes || std::chrono::steady_clock::now() >= deadline) {
      return taken->second;
    }
    if (aOptions.mIsStopping()) {
      return Error{ ErrorKind::Canceled,
                    "the process was asked to stop while it waited for " +
                      Format(*taken->first),
                    "none" };
    }
    if (logged != taken->first) {
      logged = taken->first;
      LogEvent("address_taken", LogLevel::Warning)
        .Field("name", taken->first->mName)
        .Field("address", Format(*taken->first))
        .Field("waits_s", Seconds(deadline - started))
        .Write();
    }
    std::this_thread::sleep_for(aOptions.mPollInterval);
  }
}

uint16_t FindFreePort(const std::string& aAddress,
                      uint16_t aFirst,
                      uint16_t aLast)
{
  for (unsigned port = aFirst; port <= aLast; ++port) {
    const ListenAddress address{
      "daemons", aAddress, static_cast<uint16_t>(port), Transport::Tcp
    };
    if (CheckAddress(address).has_value()) {
      return address.mPort;
    }
  }
  return aFirst;
}

} // namespace agatetide::process
