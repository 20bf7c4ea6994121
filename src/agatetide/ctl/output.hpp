#pragma once

#include "agatetide/v1/service.pb.h"

#include <google/protobuf/message.h>

#include <string>
#include <vector>

namespace agatetide::ctl {

/// @brief Rows of text in aligned columns.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader) { Add(std::move(aHeader)); }

  void Add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }

  /// @brief The rows, one line each; columns are as wide as needed.
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// @brief Prints a message as one line of JSON with all fields.
void PrintJson(const google::protobuf::Message& aMessage);

/// @brief The object that the oneof of a ConfigObject holds, or nullptr.
const google::protobuf::Message* Held(const v1::ConfigObject& aObject);

/// @brief Objects of one kind; the columns are the fields of the kind.
Table ObjectTable(const v1::ListResponse& aList);

/// @brief Rows for repeated messages of one type.
template<class Messages>
Table MessageTable(const Messages& aMessages);

/// @brief Names and values of a message's fields as table cells; a repeated
/// message counts its items.
std::vector<std::string> FieldNames(const google::protobuf::Descriptor& aType);
std::vector<std::string> FieldValues(const google::protobuf::Message& aMessage);

template<class Messages>
Table MessageTable(const Messages& aMessages)
{
  Table table(FieldNames(*Messages::value_type::descriptor()));
  for (const auto& message : aMessages) {
    table.Add(FieldValues(message));
  }
  return table;
}

} // namespace agatetide::ctl
