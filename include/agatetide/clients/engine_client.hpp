#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace agatetide::clients {

/// @brief A completion request to a model engine.
struct CompletionRequest
{
  std::string mModel;
  std::string mPrompt;
  uint32_t mMaxTokens = 256;
  /// Lower values run first.
  int mPriority = 0;
  std::string mRequestId;
  /// Text that an earlier, interrupted run has produced.
  std::string mResumeText;
  uint32_t mResumeTokens = 0;
  /// Makes samples of one prompt differ; a resumed sample keeps its seed.
  uint64_t mSeed = 0;
  /// Longest time without any byte from the engine.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  /// Ends the call while no event arrives; may be null.
  std::shared_ptr<http::AbortHandle> mAbort;
};

/// @brief What a completion has produced so far.
struct Completion
{
  std::string mText;
  uint32_t mTokens = 0;
  /// Distinct weight versions, in the order in which the engine reported
  /// them with the chunks.
  std::vector<uint64_t> mWeightVersions;
  bool mFinished = false;
};

/// @brief What an engine reports about its load; it lags.
struct UpstreamLoad
{
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint64_t mWeightVersion = 0;
  bool mLeaving = false;
};

/// @brief Runs a completion as a stream of server-sent events and adds what
/// arrives to aCompletion, which must outlive the call and keeps its content
/// after an error, so that another engine can resume. aKeepGoing is asked
/// after each event; false cancels the call.
///
/// Errors: those of http::Client; DataLoss when the end marker is missing or
/// an event belongs to another request.
Awaitable<Result<bool>> StreamCompletion(
  http::Client& aClient,
  http::Endpoint aEngine,
  CompletionRequest aRequest,
  std::chrono::steady_clock::time_point aDeadline,
  Completion& aCompletion,
  std::function<bool()> aKeepGoing);

/// @brief Reads the load report of an engine or a service.
Awaitable<Result<UpstreamLoad>> ReadLoad(
  http::Client& aClient,
  http::Endpoint aUpstream,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief Orders an engine to activate a weight version.
struct WeightActivation
{
  std::string mModel;
  uint64_t mVersion = 0;
  std::string mUri;
  int64_t mFencingToken = 0;
};
Awaitable<Result<bool>> ActivateWeights(
  http::Client& aClient,
  http::Endpoint aEngine,
  WeightActivation aOrder,
  std::chrono::steady_clock::time_point aDeadline);

} // namespace agatetide::clients
