#include "agatetide/base/shared_bytes.hpp"

#include <criterion/criterion.h>

using namespace agatetide;

// Guards against a body that counts for each of its holders, or that stops
// counting while one of them still holds it.
Test(shared_bytes, bytes_count_once_until_nobody_holds_them)
{
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryReservation memory(budget);
  cr_assert(memory.Grow(60));
  SharedBytes first("text", std::move(memory));
  cr_expect(first.IsCounted());
  const SharedBytes::Observer observer = first.Observe();
  {
    const SharedBytes second = first;
    cr_expect_eq(second.Data(), first.Data(), "the bytes are not copied");
    first.Reset();
    cr_expect_eq(budget->Used(), 60);
    cr_expect(observer.Lock() == "text");
  }
  cr_expect_eq(budget->Used(), 0);
  cr_expect(observer.IsExpired());
  cr_expect(observer.Lock().empty());
}

// Guards against bytes that another holder still needs and that are moved away.
Test(shared_bytes, release_leaves_other_holders_their_bytes)
{
  SharedBytes first(std::string(100, 'a'));
  SharedBytes second = first;
  const char* const bytes = first.Data();
  cr_expect_eq(first.Release().size(), 100);
  cr_expect_eq(second.size(), 100);
  const std::string last = second.Release();
  cr_expect_eq(last.data(), bytes, "the last holder gets them without a copy");
  cr_expect(second.empty());
}

// Guards against memory of a step that is returned twice, or not at all, after
// parts of it were handed over.
Test(shared_bytes, a_reservation_is_returned_once)
{
  const auto budget = std::make_shared<MemoryBudget>(100);
  {
    MemoryReservation all(budget);
    cr_assert(all.Grow(100));
    const MemoryReservation part = all.Split(30);
    cr_expect_eq(part.Taken(), 30);
    cr_expect_eq(all.Taken(), 70);
    cr_expect_eq(all.Split(80).Taken(), 70, "no more than there is");
    cr_expect_eq(budget->Used(), 30);
    all.ShrinkTo(10);
    cr_expect_eq(budget->Used(), 30);
  }
  cr_expect_eq(budget->Used(), 0);
}
