#include "agatetide/base/log_output.hpp"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <sstream>
#include <string>

using namespace agatetide;

namespace {

constexpr std::string_view kLine = "a line\n";
/// Longer than what a full pipe has room for.
constexpr size_t kLongLineBytes = 1001;

std::string LongLine()
{
  return std::string(kLongLineBytes - 1, 'x') + "\n";
}

/// Two connected descriptors: what is written to the second is read from the
/// first.
struct Channel
{
  static Channel OfPipe()
  {
    Channel channel;
    cr_assert_eq(::pipe(channel.mEnds.data()), 0);
    return channel;
  }

  static Channel OfSocket()
  {
    Channel channel;
    cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, channel.mEnds.data()),
                 0);
    return channel;
  }

  int Writer() const { return mEnds[1]; }

  /// Writes lines until the reader would have to make room.
  void Fill(LogOutput& aOutput) const
  {
    const uint64_t before = aOutput.DroppedCount();
    while (aOutput.DroppedCount() == before) {
      aOutput.Write(LongLine());
    }
  }

  /// Returns what can be read now.
  std::string Read() const
  {
    ::fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> bytes{};
    for (ssize_t count = 1; count > 0;) {
      count = ::read(mEnds[0], bytes.data(), bytes.size());
      text.append(bytes.data(), count > 0 ? static_cast<size_t>(count) : 0);
    }
    return text;
  }

  void CloseReader() const { ::close(mEnds[0]); }

  std::array<int, 2> mEnds{};
};

Duration TimeOf(const std::function<void()>& aAction)
{
  const TimePoint started = std::chrono::steady_clock::now();
  aAction();
  return std::chrono::steady_clock::now() - started;
}

} // namespace

// Guards against a log thread that waits for ever for a reader.
Test(log_output, waits_for_a_reader_no_longer_than_its_patience)
{
  for (const Channel& channel : { Channel::OfPipe(), Channel::OfSocket() }) {
    LogOutput output(channel.Writer());
    output.SetPatience(Milliseconds(100));
    const Duration took = TimeOf([&] { channel.Fill(output); });
    cr_assert(took < std::chrono::seconds(2), "%.2f s", Seconds(took));
  }
}

// Guards against a patience that is spent on each of many lines.
Test(log_output, drops_further_lines_at_once)
{
  const Channel channel = Channel::OfPipe();
  LogOutput output(channel.Writer());
  output.SetPatience(Milliseconds(100));
  channel.Fill(output);
  const Duration took = TimeOf([&] {
    for (int i = 0; i < 1000; ++i) {
      output.Write(LongLine());
    }
  });
  cr_expect(took < Milliseconds(500), "%.2f s", Seconds(took));
  cr_expect(output.DroppedCount() >= 1000);
}

// Guards against lines that are cut, joined or lost without a word.
Test(log_output, tells_how_many_lines_were_dropped)
{
  const Channel channel = Channel::OfPipe();
  LogOutput output(channel.Writer());
  output.SetPatience(Milliseconds(0));
  channel.Fill(output);
  output.Write(LongLine());
  std::istringstream text(channel.Read());
  output.Write(kLine);
  text.str(text.str() + channel.Read());
  const std::string notice = "level=warning event=log_lines_dropped count=";
  uint64_t counted = 0;
  std::string last;
  for (std::string line; std::getline(text, line); last = line) {
    if (line.starts_with(notice)) {
      counted += std::stoull(line.substr(notice.size()));
      continue;
    }
    cr_expect(line + "\n" == LongLine() || line + "\n" == kLine);
  }
  cr_expect_eq(counted, output.DroppedCount());
  cr_expect_eq(last + "\n", kLine);
}

// Guards against an output that stays silent after one failure.
Test(log_output, writes_again_when_the_reader_makes_room)
{
  const Channel channel = Channel::OfPipe();
  LogOutput output(channel.Writer());
  output.SetPatience(Milliseconds(0));
  for (int round = 0; round < 3; ++round) {
    channel.Fill(output);
    channel.Read();
    output.Write(kLine);
    cr_expect(channel.Read().ends_with(kLine), "round %d", round);
  }
}

// Guards against an error of the reader's end that is taken for a full pipe.
Test(log_output, drops_lines_when_the_reader_is_gone)
{
  std::signal(SIGPIPE, SIG_IGN);
  for (const Channel& channel : { Channel::OfPipe(), Channel::OfSocket() }) {
    LogOutput output(channel.Writer());
    channel.CloseReader();
    const Duration took = TimeOf([&] { output.Write(kLine); });
    cr_expect_eq(output.DroppedCount(), 1);
    cr_expect(took < Milliseconds(500), "%.2f s", Seconds(took));
  }
}

// Guards against a change of the mode of a pipe that other processes share.
Test(log_output, leaves_the_mode_of_a_shared_pipe_as_it_is)
{
  const Channel channel = Channel::OfPipe();
  LogOutput output(channel.Writer());
  output.Write(kLine);
  cr_expect_eq(::fcntl(channel.Writer(), F_GETFL) & O_NONBLOCK, 0);
  cr_expect_eq(channel.Read(), kLine);
}

// Guards against a full disk that ends the process or keeps the log silent.
Test(log_output, drops_lines_for_a_full_disk)
{
  const int full = ::open("/dev/full", O_WRONLY);
  cr_assert_geq(full, 0);
  LogOutput output(full);
  output.Write(kLine);
  output.Write(kLine);
  cr_expect_eq(output.DroppedCount(), 2);
}

// Guards against a handler of faults that waits for the reader of the log.
Test(log_output, signal_handler_does_not_wait)
{
  const Channel channel = Channel::OfPipe();
  LogOutput output(channel.Writer());
  output.SetPatience(Milliseconds(0));
  channel.Fill(output);
  const Duration took = TimeOf([&] { output.WriteInSignalHandler(kLine); });
  cr_expect(took < Milliseconds(200), "%.2f s", Seconds(took));
}
