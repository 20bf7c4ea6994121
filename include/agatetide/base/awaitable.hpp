#pragma once

#include <boost/asio/awaitable.hpp>

namespace agatetide {

/// @brief The coroutine type of asynchronous operations.
template<class T>
using Awaitable = boost::asio::awaitable<T>;

} // namespace agatetide
