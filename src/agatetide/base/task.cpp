#include "agatetide/base/task.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <new>
#include <string>
#include <thread>

namespace agatetide {

namespace {

constexpr std::chrono::seconds kRestartDelay{ 1 };
constexpr std::chrono::milliseconds kBlockingDelay{ 10 };

std::atomic<uint64_t> gFailures{ 0 };

std::string Describe(const std::exception_ptr& aFailure)
{
  try {
    std::rethrow_exception(aFailure);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

void WriteTaskFailure(std::string_view aTask,
                      const std::exception_ptr& aFailure)
{
  static std::mutex mutex;
  static LogLimiter limiter;
  const std::lock_guard lock(mutex);
  if (!limiter.Allow(std::chrono::steady_clock::now())) {
    return;
  }
  LogEvent("task_failed", LogLevel::Error)
    .Field("task", aTask)
    .Field("error", Describe(aFailure))
    .Field("suppressed", limiter.ResetSuppressedCount())
    .Write();
}

/// Without memory for a timer, the thread waits for a moment in its place.
Awaitable<void> WaitToRestart(boost::asio::steady_timer& aTimer)
{
  aTimer.expires_after(kRestartDelay);
  try {
    co_await aTimer.async_wait(boost::asio::use_awaitable);
    co_return;
  } catch (const std::bad_alloc&) {
    std::this_thread::sleep_for(kBlockingDelay);
  }
}

/// A task of SpawnSupervised().
struct SupervisedTask
{
  boost::asio::any_io_executor mExecutor;
  std::string_view mName;
  std::function<Awaitable<void>()> mStart;
  /// Whether its coroutine was destroyed before it ended.
  std::atomic<bool> mLost{ false };
};

using SupervisedTaskPtr = std::shared_ptr<SupervisedTask>;

/// The tasks that have not ended.
struct SupervisedTasks
{
  std::mutex mMutex;
  std::list<SupervisedTaskPtr> mTasks;
};

SupervisedTasks& AllSupervisedTasks()
{
  // Never destroyed, since coroutines may end after static objects.
  static auto* tasks = new SupervisedTasks;
  return *tasks;
}

/// Lives in the coroutine of a task and notes when that is destroyed early.
class LossGuard
{
public:
  explicit LossGuard(SupervisedTaskPtr aTask)
    : mTask(std::move(aTask))
  {
  }
  ~LossGuard()
  {
    if (mTask) {
      mTask->mLost = true;
    }
  }
  LossGuard(const LossGuard&) = delete;
  LossGuard& operator=(const LossGuard&) = delete;

  void Release() { mTask.reset(); }

private:
  SupervisedTaskPtr mTask;
};

/// Runs a task until it returns, and starts it again after exceptions.
Awaitable<void> KeepRunning(SupervisedTaskPtr aTask)
{
  LossGuard guard(aTask);
  boost::asio::steady_timer timer(aTask->mExecutor);
  for (;;) {
    std::exception_ptr failure;
    try {
      co_await aTask->mStart();
      break;
    } catch (...) {
      failure = std::current_exception();
    }
    LogTaskFailure(aTask->mName, failure);
    co_await WaitToRestart(timer);
  }
  guard.Release();
  SupervisedTasks& all = AllSupervisedTasks();
  const std::lock_guard lock(all.mMutex);
  all.mTasks.remove(aTask);
}

void Spawn(const SupervisedTaskPtr& aTask)
{
  boost::asio::co_spawn(
    aTask->mExecutor, KeepRunning(aTask), LogFailure(aTask->mName));
}

} // namespace

void LogFailure::operator()(const std::exception_ptr& aFailure) const
{
  if (aFailure) {
    LogTaskFailure(mTask, aFailure);
  }
}

void LogTaskFailure(std::string_view aTask,
                    const std::exception_ptr& aFailure) noexcept
{
  ++gFailures;
  try {
    WriteTaskFailure(aTask, aFailure);
  } catch (const std::exception&) {
    // Without memory there is no line; TaskFailureCount() tells of it.
  }
}

Error EndedByException(std::string_view aCall,
                       const std::exception_ptr& aFailure)
{
  LogTaskFailure(aCall, aFailure);
  return { ErrorKind::ResourceExhausted,
           "an exception has ended the call",
           "see task_failed in the log",
           Execution::Unknown };
}

uint64_t TaskFailureCount()
{
  return gFailures;
}

void SpawnSupervised(boost::asio::any_io_executor aExecutor,
                     std::string_view aTask,
                     std::function<Awaitable<void>()> aStart)
{
  const auto task = std::make_shared<SupervisedTask>();
  task->mExecutor = std::move(aExecutor);
  task->mName = aTask;
  task->mStart = std::move(aStart);
  {
    SupervisedTasks& all = AllSupervisedTasks();
    const std::lock_guard lock(all.mMutex);
    all.mTasks.push_back(task);
  }
  Spawn(task);
}

void RestartLostTasks()
{
  SupervisedTasks& all = AllSupervisedTasks();
  const std::lock_guard lock(all.mMutex);
  for (const SupervisedTaskPtr& task : all.mTasks) {
    if (!task->mLost) {
      continue;
    }
    // If this fails, its coroutine is destroyed and the task is lost again.
    task->mLost = false;
    ++gFailures;
    LogEvent("task_restarted", LogLevel::Error)
      .Field("task", task->mName)
      .Write();
    Spawn(task);
  }
}

} // namespace agatetide
