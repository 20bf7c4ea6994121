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
  /// Requests with lower values run first.
  int mPriority = 0;
  std::string mRequestId;
  /// Text that an earlier run produced before it was interrupted, and its
  /// number of tokens.
  std::string mResumeText;
  uint32_t mResumeTokens = 0;
  /// Differs between the samples of one prompt. A resumed sample keeps its
  /// seed.
  uint64_t mSeed = 0;
  /// Maximum time between two events of the engine.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  /// Cancels the call even while no event arrives; may be null.
  std::shared_ptr<http::CancelHandle> mCancel;
};

/// @brief The output of a completion so far.
struct Completion
{
  std::string mText;
  uint32_t mTokens = 0;
  /// Distinct weight versions of the events, in the order of their first
  /// appearance.
  std::vector<uint64_t> mWeightVersions;
  bool mFinished = false;
};

/// @brief Load report of a replica, which may be slightly outdated.
struct ReplicaLoad
{
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint64_t mWeightVersion = 0;
  /// The replica is about to shut down.
  bool mDraining = false;
};

/// @brief Runs a completion as a stream of server-sent events and appends the
/// output to aCompletion. After an error, aCompletion contains the output so
/// far, so that another engine can resume the completion.
///
/// aCompletion must outlive the call. aShouldContinue is called after each
/// received piece of the stream; returning false cancels the call.
///
/// Errors: those of http::Client; Unavailable with Execution::NotRun if the
/// engine responds with status 429 or 503, Internal for other statuses;
/// DataLoss if an event is malformed or belongs to another request, or if the
/// end marker is missing. The value is always true.
Awaitable<Result<bool>> StreamCompletion(
  http::Client& aClient,
  http::Endpoint aEngine,
  CompletionRequest aRequest,
  std::chrono::steady_clock::time_point aDeadline,
  Completion& aCompletion,
  std::function<bool()> aShouldContinue);

/// @brief Reads the load report of a replica.
Awaitable<Result<ReplicaLoad>> ReadLoad(
  http::Client& aClient,
  http::Endpoint aUpstream,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief A weight version that an engine is to load and serve.
struct WeightLoad
{
  std::string mModel;
  uint64_t mVersion = 0;
  std::string mUri;
  int64_t mFencingToken = 0;
};

/// @brief Tells an engine to load and serve a weight version. The value is
/// always true.
Awaitable<Result<bool>> LoadWeights(
  http::Client& aClient,
  http::Endpoint aEngine,
  WeightLoad aLoad,
  std::chrono::steady_clock::time_point aDeadline);

} // namespace agatetide::clients
