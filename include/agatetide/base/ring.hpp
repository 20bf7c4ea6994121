#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace agatetide {

/// @brief Bounded lock-free queue for one producer thread and one consumer
/// thread.
template<class T>
class Ring
{
public:
  /// @brief aWake must make the consumer thread call Drain(). The producer
  /// calls it after a push, unless an earlier wake-up is still pending. It must
  /// be thread-safe.
  Ring(size_t aCapacity, std::function<void()> aWake)
    : mQueue(aCapacity)
    , mWake(std::move(aWake))
  {
  }

  /// @brief Adds an item; producer thread only. Returns false when the ring is
  /// full.
  bool Push(T aItem)
  {
    if (!mQueue.push(std::move(aItem))) {
      return false;
    }
    if (!mWakePending.exchange(true)) {
      mWake();
    }
    return true;
  }

  /// @brief Passes each queued item to aConsume, in order; consumer thread
  /// only.
  template<class Consume>
  void Drain(Consume&& aConsume)
  {
    // Reset before draining, so that an item pushed from now on wakes the
    // consumer again.
    mWakePending.exchange(false);
    mQueue.consume_all(std::forward<Consume>(aConsume));
  }

private:
  boost::lockfree::spsc_queue<T> mQueue;
  std::function<void()> mWake;
  std::atomic<bool> mWakePending{ false };
};

} // namespace agatetide
