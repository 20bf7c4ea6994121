#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace agatetide::process {

enum class Transport
{
  Tcp,
  TcpAndUdp,
};

/// @brief An address that the process will listen on.
struct ListenAddress
{
  /// For the log, for example "callers".
  std::string_view mName;
  /// An IP address.
  std::string mAddress;
  uint16_t mPort = 0;
  Transport mTransport = Transport::Tcp;
};

struct AddressWaitOptions
{
  /// How long an address may stay taken, for example by a process that ends, or
  /// by an outgoing connection.
  Milliseconds mPatience{ 10000 };
  Milliseconds mPollInterval{ 100 };
  /// Whether the process was asked to stop, so that waiting ends.
  std::function<bool()> mIsStopping = [] { return false; };
};

/// @brief Whether the process can listen on the address now. Thread-safe.
/// Errors: Unavailable if it is in use; InvalidArgument if it is not an IP
/// address; Internal for other errors.
Result<bool> CheckAddress(const ListenAddress& aAddress);

/// @brief Waits until the process can listen on all addresses. A line tells
/// which one is taken. Blocks. Errors: those of CheckAddress() for the first
/// address that stays taken; Canceled if the process was asked to stop.
Result<bool> WaitForAddresses(std::span<const ListenAddress> aAddresses,
                              const AddressWaitOptions& aOptions);

/// @brief Returns the first port from aFirst to aLast on which the process can
/// listen, or aFirst if there is none.
uint16_t FindFreePort(const std::string& aAddress,
                      uint16_t aFirst,
                      uint16_t aLast);

} // namespace agatetide::process
