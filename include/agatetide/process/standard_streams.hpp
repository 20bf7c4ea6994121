#pragma once

namespace agatetide::process {

/// @brief Opens /dev/null in place of closed standard streams, so that no
/// socket gets the number of standard error and receives log lines. Call it
/// before any other descriptor is opened.
void OpenClosedStreams();

} // namespace agatetide::process
