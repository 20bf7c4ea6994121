#include "agatetide/base/task.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <new>
#include <stdexcept>

using namespace agatetide;

namespace {

Awaitable<void> Throw()
{
  throw std::runtime_error("no memory");
  co_return;
}

Awaitable<int> ThrowInsteadOfResult()
{
  throw std::runtime_error("no memory");
  co_return 1;
}

/// Counts a start, and throws in the first ones.
Awaitable<void> CountStart(int& aStarts, int aFailures)
{
  if (++aStarts <= aFailures) {
    co_await Throw();
  }
}

/// An operation that cannot be started, for which asio destroys the coroutine.
Awaitable<void> StartWithoutMemory()
{
  co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                       void()>(
    [](auto&&) { throw std::bad_alloc(); }, boost::asio::use_awaitable);
}

/// Counts a start, and is destroyed in the first one.
Awaitable<void> CountStartAndLose(int& aStarts)
{
  if (++aStarts == 1) {
    co_await StartWithoutMemory();
  }
}

/// Runs until the loop has no work, whatever handlers throw.
void RunAll(boost::asio::io_context& aContext)
{
  aContext.restart();
  for (bool ended = false; !ended;) {
    try {
      aContext.run();
      ended = true;
    } catch (const std::bad_alloc&) {
      continue;
    }
  }
}

/// Returns how often a supervised task was started.
int RunSupervised(int aFailures)
{
  boost::asio::io_context context;
  int starts = 0;
  SpawnSupervised(context.get_executor(), "loop", [&starts, aFailures] {
    return CountStart(starts, aFailures);
  });
  context.run();
  return starts;
}

} // namespace

// Guards against a task that ends without a word, or ends the process.
Test(task, exception_of_a_task_is_counted)
{
  boost::asio::io_context context;
  boost::asio::co_spawn(context, Throw(), LogFailure("first"));
  boost::asio::co_spawn(context, ThrowInsteadOfResult(), LogFailure("second"));
  context.run();
  cr_expect_eq(TaskFailureCount(), 2);
}

// Guards against a loop of the process that is gone after one exception.
Test(task, supervised_task_is_started_again)
{
  cr_expect_eq(RunSupervised(2), 3);
  cr_expect_eq(TaskFailureCount(), 2);
}

// Guards against a lasting task whose coroutine was destroyed, since an
// operation could not be started.
Test(task, lost_task_is_started_again)
{
  boost::asio::io_context context;
  int starts = 0;
  SpawnSupervised(context.get_executor(), "loop", [&starts] {
    return CountStartAndLose(starts);
  });
  RunAll(context);
  cr_expect_eq(starts, 1);
  RestartLostTasks();
  RunAll(context);
  cr_expect_eq(starts, 2);
  RestartLostTasks();
  RunAll(context);
  cr_expect_eq(starts, 2);
}

// Guards against a task that is started again after its planned end.
Test(task, supervised_task_ends_when_it_returns)
{
  cr_expect_eq(RunSupervised(0), 1);
}
