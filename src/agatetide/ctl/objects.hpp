#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/ctl/command.hpp"
#include "agatetide/v1/service.pb.h"

#include <string>
#include <string_view>

namespace agatetide::ctl {

/// @brief Lists the objects of one kind.
Result<v1::ListResponse> ListObjects(const Session& aSession,
                                     const std::string& aKind);

/// @brief Reads an object and its version; the version is 0 if the object does
/// not exist.
Result<v1::ListedObject> ReadObject(const Session& aSession,
                                    const std::string& aKind,
                                    const std::string& aName);

/// @brief Writes an object that was read at aVersion; -1 overwrites any
/// version. Errors: Conflict when the object has changed since.
Result<v1::PutResponse> PutObject(const Session& aSession,
                                  const v1::ConfigObject& aObject,
                                  int64_t aVersion);

/// @brief Prints the configuration version that contains a change.
void PrintChange(const v1::PutResponse& aResponse, const Arguments& aArguments);

/// @brief Sets a field of a message from "field=value". Enumerators may be
/// written without their common prefix. Errors: those of UsageError().
Result<bool> SetField(google::protobuf::Message& aMessage,
                      std::string_view aAssignment);

} // namespace agatetide::ctl
