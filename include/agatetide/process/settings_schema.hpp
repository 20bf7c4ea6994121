#pragma once

#include "agatetide/base/error.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace agatetide::process {

/// @brief Checks settings against a JSON schema. Thread-safe.
/// Precondition: aSchema is a valid schema. Errors: InvalidArgument with the
/// path of the field, such as "limits.maxFds", and the reason.
Result<bool> CheckSettings(const nlohmann::json& aSettings,
                           std::string_view aSchema);

} // namespace agatetide::process
