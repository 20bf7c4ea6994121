#include "agatetide/process/standard_streams.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace agatetide::process {

void OpenClosedStreams()
{
  constexpr std::array kStreams{ STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO };
  for (const int stream : kStreams) {
    if (::fcntl(stream, F_GETFD) >= 0 || errno != EBADF) {
      continue;
    }
    // The lowest free number is that of the stream.
    ::open("/dev/null", O_RDWR);
  }
}

} // namespace agatetide::process
