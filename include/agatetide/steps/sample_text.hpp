#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The text of a sample as its events arrive: one line each. Takes no
/// more than its trainer can read, whatever a replica sends. Not thread-safe.
class SampleText
{
public:
  /// An answer to a trainer holds 1 MB.
  static constexpr size_t kMaxBytes = size_t{ 1000 } * 1000;

  SampleText() = default;

  /// @brief Goes on from the events that were kept of the sample.
  explicit SampleText(std::vector<std::string> aEvents);

  /// @brief Adds an event; false when the text would be too long.
  bool Append(std::string aEvent);

  void Clear();

  const std::vector<std::string>& Events() const { return mEvents; }

  /// @brief The whole text, its events separated by line feeds.
  std::string Joined() const;

private:
  std::vector<std::string> mEvents;
  /// With the end of each line.
  size_t mBytes = 0;
};

} // namespace agatetide::steps
