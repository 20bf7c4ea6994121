#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/base/shared_bytes.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatetide::steps {

/// @brief Loads bytes for several readers: those that ask for the same bytes
/// share one load, and one copy for as long as any of them holds it. Not
/// thread-safe.
class SharedLoads
{
public:
  using Load = std::function<Awaitable<Result<SharedBytes>>()>;

  explicit SharedLoads(boost::asio::any_io_executor aExecutor);

  /// @brief Returns the bytes with this key; loads them if nobody holds them.
  /// Errors: those of the load, which all readers that wait for it get.
  Awaitable<Result<SharedBytes>> Get(std::string aKey, Load aLoad);

private:
  struct Pending;
  struct Entry
  {
    /// The load that runs; null if there is none.
    std::shared_ptr<Pending> mPending;
    SharedBytes::Observer mLoaded;
  };

  Awaitable<Result<SharedBytes>> Await(std::shared_ptr<Pending> aPending);
  void Finish(const std::string& aKey, Result<SharedBytes> aResult);

  boost::asio::any_io_executor mExecutor;
  std::map<std::string, Entry> mEntries;
};

} // namespace agatetide::steps
