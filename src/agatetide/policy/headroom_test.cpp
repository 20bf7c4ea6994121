#include "agatetide/policy/headroom.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

// Guards against background or trainer work filling all slots.
Test(headroom, deferrable_work_leaves_slots_to_urgent_requests)
{
  const HeadroomOptions options;
  const SlotUsage background{ 10, 7, 7, 7, 0 };
  cr_assert(!MayTakeSlot(RequestClass::Background, background, options));
  cr_assert(MayTakeSlot(RequestClass::Trainer, background, options));
  const SlotUsage trainer{ 10, 9, 9, 7, 0 };
  cr_assert(!MayTakeSlot(RequestClass::Trainer, trainer, options));
  cr_assert(MayTakeSlot(RequestClass::Urgent, trainer, options));
}

// Guards against one client account filling all slots.
Test(headroom, one_account_leaves_slots_to_others)
{
  const HeadroomOptions options;
  cr_assert(
    !MayTakeSlot(RequestClass::Urgent, SlotUsage{ 10, 9, 0, 0, 9 }, options));
  cr_assert(
    MayTakeSlot(RequestClass::Urgent, SlotUsage{ 10, 9, 0, 0, 0 }, options));
}

// Guards against requests that can never run on an upstream with few slots.
Test(headroom, each_share_allows_one_request)
{
  const HeadroomOptions options;
  cr_assert(
    MayTakeSlot(RequestClass::Background, SlotUsage{ 1, 0, 0, 0, 0 }, options));
  cr_assert(
    !MayTakeSlot(RequestClass::Urgent, SlotUsage{ 1, 1, 0, 0, 0 }, options));
}
