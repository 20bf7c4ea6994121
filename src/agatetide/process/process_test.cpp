#include "agatetide/process/process.hpp"

#include "agatetide/base/task.hpp"
#include "agatetide/base/test_child.hpp"
#include "agatetide/process/signals.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <criterion/criterion.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>
#include <thread>

using namespace agatetide;
using namespace agatetide::process;

namespace {

/// Ends a process whose test function returns.
constexpr int kReturned = 99;

/// Runs a function in a process of its own that has an owner of its life.
EndedProcess RunProcess(const std::function<void(Process&)>& aFunction)
{
  return RunInChild(
    [&] {
      Process::Prepare();
      aFunction(*Process::Start({ "test", "/settings-of-no-file" }));
    },
    kReturned);
}

[[noreturn]] void Exit(Process& aProcess, const ProcessEnd& aEnd)
{
  std::_Exit(static_cast<int>(aProcess.End(aEnd)));
}

} // namespace

// Guards against an end by an exception that a handler throws.
Test(process, loop_goes_on_after_an_exception_of_a_handler)
{
  const EndedProcess ended = RunProcess([](Process& aProcess) {
    boost::asio::io_context loop;
    int handled = 0;
    boost::asio::post(loop, [] { throw std::bad_alloc(); });
    boost::asio::post(loop, [&] { ++handled; });
    boost::asio::post(loop, [] { throw 1; });
    boost::asio::post(loop, [&] { ++handled; });
    aProcess.RunLoop(loop, "test");
    Exit(aProcess,
         { handled == 2 ? EndCause::Signal : EndCause::RuntimeFailure });
  });
  cr_expect_eq(ended.mCode, 0);
  cr_expect(ended.Says("event=task_failed task=test error=std::bad_alloc"),
            "%s",
            ended.mOutput.c_str());
}

// Guards against a stop that never ends, so that the next process cannot start.
Test(process, late_stop_is_ended)
{
  const EndedProcess ended = RunProcess([](Process& aProcess) {
    boost::asio::io_context loop;
    boost::asio::post(loop, [&] {
      aProcess.BeginStop(SIGTERM, Milliseconds(100));
      std::this_thread::sleep_for(std::chrono::seconds(20));
    });
    aProcess.RunLoop(loop, "test");
  });
  cr_expect_eq(ended.mCode, static_cast<int>(ExitCode::RuntimeFailure));
  cr_expect(ended.Says("event=stopped role=test cause=stop_timed_out"),
            "%s",
            ended.mOutput.c_str());
}

// Guards against a loop that hangs without a word.
Test(process, loop_that_does_not_respond_is_logged)
{
  const EndedProcess ended = RunProcess([](Process& aProcess) {
    boost::asio::io_context loop;
    boost::asio::post(
      loop, [] { std::this_thread::sleep_for(std::chrono::seconds(5)); });
    aProcess.RunLoop(loop, "test");
    Exit(aProcess, {});
  });
  cr_expect(
    ended.Says("event=loop_stalled loop=test"), "%s", ended.mOutput.c_str());
}

// Guards against an exit code that the last line does not explain.
Test(process, last_line_names_cause_and_code)
{
  const EndedProcess ended = RunProcess([](Process& aProcess) {
    Exit(aProcess, { EndCause::InvalidSettings, 0, "bounds.graceS: text" });
  });
  cr_expect_eq(ended.mCode, 3);
  cr_expect(ended.Says("event=start_failed role=test cause=invalid_settings "
                       "code=3 error=\"bounds.graceS: text\" phase=starting"),
            "%s",
            ended.mOutput.c_str());
}

// Guards against an exception outside of the loops that leaves no line.
Test(process, uncaught_exception_leaves_its_text)
{
  const EndedProcess ended = RunProcess(
    [](Process&) { std::thread([] { throw std::bad_alloc(); }).join(); });
  cr_expect_eq(ended.mSignal, SIGABRT);
  cr_expect(ended.Says("event=uncaught_exception what=\"std::bad_alloc\""),
            "%s",
            ended.mOutput.c_str());
  cr_expect(ended.Says("event=process_fault signal=6"));
}

// Guards against signals that arrive before their handlers and end the process.
Test(process, blocked_signals_arrive_when_their_handlers_stand)
{
  const EndedProcess ended = RunProcess([](Process& aProcess) {
    ::raise(SIGHUP);
    ::raise(SIGTERM);
    const bool pending = PendingStopSignal() == SIGTERM;
    boost::asio::io_context loop;
    boost::asio::signal_set signals(loop, SIGTERM, SIGHUP);
    int received = 0;
    const std::function<void()> wait = [&] {
      signals.async_wait([&](const auto&, int) {
        if (++received < 2) {
          wait();
        }
      });
    };
    wait();
    UnblockSignals();
    aProcess.RunLoop(loop, "test");
    Exit(aProcess, { pending ? EndCause::Signal : EndCause::RuntimeFailure });
  });
  cr_expect_eq(ended.mCode, 0);
}
