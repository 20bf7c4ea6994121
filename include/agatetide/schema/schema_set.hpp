#pragma once

#include "agatetide/base/error.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::schema {

/// @brief One schema file as an operator uploads it.
struct SchemaFile
{
  /// Path by which other files import it.
  std::string mName;
  std::string mSource;
};

/// @brief One method of a service.
struct Method
{
  /// "package.Service/Method".
  std::string mName;
  std::string mRequestType;
  std::string mResponseType;
  /// Whether a request may be sent again (option idempotency_level).
  bool mIdempotent = false;
};

/// @brief Encoding of a message body.
enum class Encoding
{
  Json,
  Protobuf,
};

/// @brief The methods and messages of the uploaded schema files, parsed at
/// run time. Immutable and thread-safe.
class SchemaSet
{
public:
  /// @brief Parses the files, which may import each other by name.
  /// Errors: InvalidArgument with the file, line and reason.
  static Result<std::shared_ptr<const SchemaSet>> Create(
    std::span<const SchemaFile> aFiles);
  ~SchemaSet();
  SchemaSet(const SchemaSet&) = delete;
  SchemaSet& operator=(const SchemaSet&) = delete;

  /// @brief Returns the method "package.Service/Method", or nullptr if there is
  /// none.
  const Method* Find(std::string_view aName) const;

  /// @brief All methods, sorted by name.
  std::vector<Method> Methods() const;

  /// @brief Validates a body against a message type and converts it to JSON.
  /// Errors: InvalidArgument with the reason; for JSON it names the field.
  Result<std::string> ToJson(const std::string& aType,
                             std::string_view aBody,
                             Encoding aEncoding) const;

  /// @brief Validates JSON against a message type and converts it to aEncoding.
  /// Errors: InvalidArgument with the reason; for JSON it names the field.
  Result<std::string> FromJson(const std::string& aType,
                               std::string_view aJson,
                               Encoding aEncoding) const;

private:
  struct State;
  explicit SchemaSet(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::schema
