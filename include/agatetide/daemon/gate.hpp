#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/policy/fair_queue.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatetide::daemon {

/// @brief What a request asks of the gate.
struct GateRequest
{
  policy::RequestClass mClass = policy::RequestClass::Urgent;
  std::string mAccount;
  double mWeight = 1.0;
  double mCost = 1.0;
  TimePoint mDeadline{};
};

/// @brief Lets a bounded number of requests run against one upstream group
/// and queues the rest fairly. Owned by the traffic thread.
class Gate : public std::enable_shared_from_this<Gate>
{
public:
  /// @brief Gives the slot back when it is destroyed.
  class Permit
  {
  public:
    explicit Permit(std::shared_ptr<Gate> aGate)
      : mGate(std::move(aGate))
    {
    }
    Permit(Permit&&) = default;
    Permit& operator=(Permit&&) = default;
    ~Permit();

  private:
    std::shared_ptr<Gate> mGate;
  };

  explicit Gate(policy::FairQueueOptions aOptions)
    : mQueue(aOptions)
  {
  }

  /// @brief Requests that may run at once.
  void SetLimit(size_t aLimit);

  /// @brief Waits for a slot. Errors: ResourceExhausted when the client
  /// account's queue is full; DeadlineExceeded. Both mean not run.
  Awaitable<Result<Permit>> Enter(GateRequest aRequest);

  size_t Running() const { return mRunning; }
  size_t Waiting() const { return mQueue.size(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer* mTimer = nullptr;
    bool mAdmitted = false;
  };

  void Leave();
  void AdmitNext();

  policy::FairQueue mQueue;
  std::map<uint64_t, Waiter*> mWaiters;
  size_t mLimit = 1;
  size_t mRunning = 0;
  uint64_t mNextId = 1;
};

} // namespace agatetide::daemon
