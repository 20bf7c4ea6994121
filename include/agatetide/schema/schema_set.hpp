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
  std::string mName;
  std::string mSource;
};

struct Method
{
  /// "package.Service/Method".
  std::string mName;
  std::string mRequestType;
  std::string mResponseType;
  /// Whether the method may be repeated (idempotency_level).
  bool mIdempotent = false;
};

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
  /// @brief Parses the files; they may import each other by name.
  /// Errors: InvalidArgument that names file, line and reason.
  static Result<std::shared_ptr<const SchemaSet>> Create(
    std::span<const SchemaFile> aFiles);
  ~SchemaSet();
  SchemaSet(const SchemaSet&) = delete;
  SchemaSet& operator=(const SchemaSet&) = delete;

  /// @brief The method, or nullptr when the schema does not have it.
  const Method* Find(std::string_view aName) const;

  /// @brief All methods, sorted by name.
  std::vector<Method> Methods() const;

  /// @brief Checks a body against a message type and converts it to JSON.
  /// Errors: InvalidArgument that names the field.
  Result<std::string> ToJson(const std::string& aType,
                             std::string_view aBody,
                             Encoding aEncoding) const;

  /// @brief Converts JSON of a message type to the wanted encoding.
  /// Errors: InvalidArgument that names the field.
  Result<std::string> FromJson(const std::string& aType,
                               std::string_view aJson,
                               Encoding aEncoding) const;

private:
  struct State;
  explicit SchemaSet(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::schema
