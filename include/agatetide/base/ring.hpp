#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <functional>
#include <utility>

namespace agatetide {

/// @brief Bounded queue from one producing thread to one consuming thread.
template<class T>
class Ring
{
public:
  /// @brief aWake is called by the producer after each push; it makes the
  /// consumer call Drain(). It must be thread-safe.
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
    mWake();
    return true;
  }

  /// @brief Consumer only. Passes each queued item to aConsume, in order.
  template<class Consume>
  void Drain(Consume&& aConsume)
  {
    mQueue.consume_all(std::forward<Consume>(aConsume));
  }

private:
  boost::lockfree::spsc_queue<T> mQueue;
  std::function<void()> mWake;
};

} // namespace agatetide
