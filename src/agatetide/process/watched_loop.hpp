#pragma once

#include "agatetide/base/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace agatetide::process {

/// @brief An event loop that is watched: it is asked to respond again and
/// again. One thread watches; the loop may run on another one.
class WatchedLoop
{
public:
  /// @brief aLoop must outlive the object. It calls aActivity, which may be
  /// empty, when it responds. Precondition: aName is a literal.
  WatchedLoop(boost::asio::io_context& aLoop,
              std::string_view aName,
              std::function<std::string()> aActivity);

  std::string_view Name() const { return mName; }

  /// @brief Returns how long the loop has not responded, and asks it if it has.
  Duration Check();

  /// @brief What the loop did when it last responded. Thread-safe.
  std::string LastActivity() const;

  /// @brief Whether aStalled, from Check(), begins a stall to be logged.
  bool IsNewStall(Duration aStalled);

private:
  struct Response;

  boost::asio::io_context& mLoop;
  std::string_view mName;
  /// Shared with the loop, which may respond after the object is gone.
  std::shared_ptr<Response> mResponse;
  TimePoint mAskedAt{};
  bool mStalled = false;
};

} // namespace agatetide::process
