#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace agatetide {

/// @brief Bounded queue from one producing thread to one consuming thread.
template<class T>
class Ring
{
public:
  /// @brief aWake is called by the producer after a push, unless an earlier
  /// call has not led to a Drain() yet; it makes the consumer call Drain().
  /// It must be thread-safe.
  Ring(size_t aCapacity, std::function<void()> aWake)
    : mQueue(aCapacity)
    , mWake(std::move(aWake))
  {
  }

  /// @brief Producer only. False when the ring is full.
  bool Push(T aItem)
  {
    if (!mQueue.push(std::move(aItem))) {
      return false;
    }
    if (!mWoken.exchange(true)) {
      mWake();
    }
    return true;
  }

  /// @brief Consumer only. Passes each queued item to aConsume, in order.
  template<class Consume>
  void Drain(Consume&& aConsume)
  {
    // Reset first: an item pushed after that wakes the consumer again.
    mWoken.exchange(false);
    mQueue.consume_all(std::forward<Consume>(aConsume));
  }

private:
  boost::lockfree::spsc_queue<T> mQueue;
  std::function<void()> mWake;
  std::atomic<bool> mWoken{ false };
};

} // namespace agatetide
