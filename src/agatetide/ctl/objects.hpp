#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/ctl/command.hpp"
#include "agatetide/v1/service.pb.h"

#include <string>
#include <string_view>

namespace agatetide::ctl {

/// @brief The objects of one kind.
Result<v1::ListResponse> ListObjects(const Session& aSession,
                                     const std::string& aKind);

/// @brief An object and the version at which it was read; version 0 when it
/// does not exist.
Result<v1::ListedObject> ReadObject(const Session& aSession,
                                    const std::string& aKind,
                                    const std::string& aName);

/// @brief Puts an object that was read at aVersion; -1 overwrites.
/// Errors: Conflict, whose remedy names the commands to use.
Result<v1::PutResponse> PutObject(const Session& aSession,
                                  const v1::ConfigObject& aObject,
                                  int64_t aVersion);

/// @brief Prints the version that a change reached.
void PrintChange(const v1::PutResponse& aResponse, const Arguments& aArguments);

/// @brief Sets "field=value" on a message. Enumerators may be written without
/// their prefix. Errors: those of UsageError().
Result<bool> SetField(google::protobuf::Message& aMessage,
                      std::string_view aAssignment);

} // namespace agatetide::ctl
