#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The text of a sample, collected event by event; each event is one
/// line. Its size is limited, so that a trainer can read the sample and a
/// replica that sends events without end cannot exhaust memory. Not
/// thread-safe.
class SampleText
{
public:
  /// A response to a trainer holds at most 1 MB.
  static constexpr size_t kMaxBytes = size_t{ 1000 } * 1000;

  SampleText() = default;

  /// @brief Restores the text from stored events.
  explicit SampleText(std::vector<std::string> aEvents);

  /// @brief Adds an event. Returns false, and leaves the text unchanged, if it
  /// would exceed kMaxBytes.
  bool Append(std::string aEvent);

  void Clear();

  const std::vector<std::string>& Events() const { return mEvents; }

  /// @brief The events joined by line feeds.
  std::string Joined() const;

private:
  std::vector<std::string> mEvents;
  /// Size of the text, including a line feed after each event.
  size_t mBytes = 0;
};

} // namespace agatetide::steps
