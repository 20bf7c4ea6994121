#include "agatetide/policy/fair_queue.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

// Guards against a burst of one client account delaying the others.
Test(fair_queue, a_flood_of_one_account_does_not_delay_another)
{
  FairQueue queue(FairQueueOptions{});
  for (uint64_t id = 0; id < 1000; ++id) {
    queue.Push({ id, RequestClass::Urgent, "large", 1.0, 256.0 });
  }
  queue.Push({ 5000, RequestClass::Urgent, "small", 1.0, 256.0 });
  unsigned before = 0;
  while (queue.Pop()->mId != 5000) {
    ++before;
  }
  cr_assert(before <= 2, "%u requests ran before", before);
}

// Guards against background work delaying urgent requests.
Test(fair_queue, urgent_goes_before_background)
{
  FairQueue queue(FairQueueOptions{});
  queue.Push({ 1, RequestClass::Background, "a", 1.0, 1.0 });
  queue.Push({ 2, RequestClass::Trainer, "a", 1.0, 1.0 });
  queue.Push({ 3, RequestClass::Urgent, "a", 1.0, 1.0 });
  cr_assert(queue.Pop()->mId == 3);
  cr_assert(queue.Pop()->mId == 2);
  cr_assert(queue.Pop()->mId == 1);
  cr_assert(!queue.Pop());
}

// Guards against unbounded queues, and against a wrong size after removals.
Test(fair_queue, is_bounded_per_account_and_forgets_removed_requests)
{
  FairQueueOptions options;
  options.mMaxPerAccount = 2;
  FairQueue queue(options);
  cr_assert(queue.Push({ 1, RequestClass::Urgent, "a", 1.0, 1.0 }));
  cr_assert(queue.Push({ 2, RequestClass::Urgent, "a", 1.0, 1.0 }));
  cr_assert(!queue.Push({ 3, RequestClass::Urgent, "a", 1.0, 1.0 }));
  queue.Remove(1);
  queue.Remove(2);
  cr_assert(queue.size() == 0);
  cr_assert(!queue.Pop());
}

// Guards against an account without a free slot blocking the others.
Test(fair_queue, an_account_that_may_not_run_is_passed_over)
{
  FairQueue queue(FairQueueOptions{});
  queue.Push({ 1, RequestClass::Urgent, "large", 1.0, 1.0 });
  queue.Push({ 2, RequestClass::Urgent, "small", 1.0, 1.0 });
  const auto notLarge = [](const QueuedRequest& aRequest) {
    return aRequest.mAccount != "large";
  };
  cr_assert(queue.Pop(notLarge)->mId == 2);
  cr_assert(!queue.Pop(notLarge));
  cr_assert(queue.Pop()->mId == 1);
}

// Guards against refusing an account's requests early because of a burst of
// another account.
Test(fair_queue, a_flood_of_another_account_is_not_ahead)
{
  FairQueue queue(FairQueueOptions{});
  for (uint64_t id = 0; id < 400; ++id) {
    queue.Push({ id, RequestClass::Urgent, "large", 1.0, 1.0 });
  }
  const QueuedRequest small{ 1000, RequestClass::Urgent, "small", 1.0, 1.0 };
  cr_assert(queue.EstimatedPosition(small) == 2.0);
  const QueuedRequest large{ 1001, RequestClass::Urgent, "large", 1.0, 1.0 };
  cr_assert(queue.EstimatedPosition(large) == 401.0);
}

// Guards against new requests that overtake one of their account that was told
// to come back now, and against an order that lets the most pressing ones miss
// their time.
Test(fair_queue, returning_requests_go_first_then_those_that_are_due)
{
  FairQueue queue(FairQueueOptions{});
  const auto due = [](int aSeconds) {
    return agatetide::TimePoint(std::chrono::seconds(aSeconds));
  };
  queue.Push({ 1, RequestClass::Urgent, "a", 1.0, 1.0, false, due(9) });
  queue.Push({ 2, RequestClass::Urgent, "a", 1.0, 1.0, false, due(5) });
  const QueuedRequest returning{
    3, RequestClass::Urgent, "a", 1.0, 1.0, true, due(20)
  };
  cr_assert(queue.EstimatedPosition(returning) == 1.0);
  queue.Push(returning);
  queue.Push({ 4, RequestClass::Urgent, "a", 1.0, 1.0, false, due(5) });
  for (const uint64_t id : { 3U, 2U, 4U, 1U }) {
    cr_assert(queue.Pop()->mId == id);
  }
}
