#include "agatetide/base/memory_budget.hpp"

#include <criterion/criterion.h>

using namespace agatetide;

namespace {

constexpr size_t kLimit = 10000;
const std::string kPiece(1000, 'a');

/// Appends pieces until one does not fit; returns the number of those that did.
int Fill(BudgetedBuffer& aBuffer)
{
  int count = 0;
  while (aBuffer.Append(kPiece)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against buffers that are each small but exhaust the memory together,
// also by what their reallocations need.
Test(memory_budget, buffers_share_a_limit)
{
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  BudgetedBuffer first(budget);
  BudgetedBuffer second(budget);
  const int count = Fill(first);
  cr_expect(count >= 4 && count <= 9, "%d", count);
  cr_expect(first.LimitExceeded());
  cr_expect_eq(first.View().size(), count * kPiece.size());
  cr_expect(!second.Append(std::string(kLimit, 'b')));
  cr_expect(second.IsEmpty());
  cr_expect_leq(budget->Used(), kLimit);
}

// Guards against memory that stays taken after its buffer has gone.
Test(memory_budget, memory_is_returned)
{
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  for (int i = 0; i < 5; ++i) {
    BudgetedBuffer buffer(budget);
    cr_expect_geq(Fill(buffer), 4);
    if (i % 2 == 0) {
      const std::string bytes = buffer.Release();
      cr_expect_geq(bytes.size(), 4 * kPiece.size());
      cr_expect_eq(budget->Used(), 0);
      cr_expect(buffer.Append(kPiece));
    }
  }
  cr_expect_eq(budget->Used(), 0);
}

// Guards against losing bytes that are not consumed yet.
Test(memory_budget, consumed_bytes_leave_from_the_front)
{
  BudgetedBuffer buffer(std::make_shared<MemoryBudget>(kLimit));
  cr_assert(buffer.Append("abc"));
  buffer.Consume(2);
  cr_assert(buffer.Append("d"));
  const std::string left(buffer.View());
  cr_expect_str_eq(left.c_str(), "cd");
}

// Guards against budgets that together allow more memory than the process has.
Test(memory_budget, budgets_share_a_total)
{
  const auto total = std::make_shared<MemoryBudget>(100);
  MemoryBudget first(80, total);
  MemoryBudget second(80, total);
  cr_expect(first.TryTake(70));
  cr_expect(!second.TryTake(40));
  cr_expect_eq(second.Used(), 0, "nothing is taken if the total is exceeded");
  cr_expect(second.CanEverFit(80) && !second.CanEverFit(81));
  first.Return(70);
  cr_expect(second.TryTake(40));
  cr_expect_eq(total->Used(), 40);
}

// Guards against counting bytes twice when a reservation follows a buffer.
Test(memory_budget, reservation_grows_to_a_size)
{
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryReservation reservation(budget);
  cr_expect(reservation.GrowTo(60));
  cr_expect(reservation.GrowTo(40));
  cr_expect_eq(budget->Used(), 60);
  cr_expect(!reservation.GrowTo(101));
  cr_expect_eq(budget->Used(), 60);
}
