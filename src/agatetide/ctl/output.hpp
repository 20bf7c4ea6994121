#pragma once

#include "agatetide/v1/service.pb.h"

#include <google/protobuf/message.h>

#include <string>
#include <vector>

namespace agatetide::ctl {

/// @brief Text table with aligned columns.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader) { Add(std::move(aHeader)); }

  void Add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }

  /// @brief Formats the rows, one line each.
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// @brief Prints a message as one line of JSON with all fields.
void PrintJson(const google::protobuf::Message& aMessage);

/// @brief The message in the oneof of a ConfigObject, or nullptr if none is
/// set.
const google::protobuf::Message* ObjectMessage(const v1::ConfigObject& aObject);

/// @brief Table of objects of one kind; the columns are the kind's fields.
Table ObjectTable(const v1::ListResponse& aList);

/// @brief Table of repeated messages of one type.
template<class Messages>
Table MessageTable(const Messages& aMessages);

/// @brief Names and values of a message's fields as table cells. A repeated
/// field is shown as the number of its items.
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
