#include "agatetide/ctl/output.hpp"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <iostream>

namespace agatetide::ctl {

namespace pb = google::protobuf;

namespace {

std::string NumberText(double aValue)
{
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string ValueText(const pb::Message& aMessage,
                      const pb::FieldDescriptor& aField)
{
  const pb::Reflection& reflection = *aMessage.GetReflection();
  if (aField.is_repeated()) {
    return std::to_string(reflection.FieldSize(aMessage, &aField));
  }
  switch (aField.cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_STRING:
      // A schema source has many lines, so the table shows only its size.
      return aField.name() == "source"
               ? std::to_string(
                   reflection.GetString(aMessage, &aField).size()) +
                   " bytes"
               : reflection.GetString(aMessage, &aField);
    case pb::FieldDescriptor::CPPTYPE_BOOL:
      return reflection.GetBool(aMessage, &aField) ? "yes" : "no";
    case pb::FieldDescriptor::CPPTYPE_DOUBLE:
      return NumberText(reflection.GetDouble(aMessage, &aField));
    case pb::FieldDescriptor::CPPTYPE_INT32:
      return std::to_string(reflection.GetInt32(aMessage, &aField));
    case pb::FieldDescriptor::CPPTYPE_UINT32:
      return std::to_string(reflection.GetUInt32(aMessage, &aField));
    case pb::FieldDescriptor::CPPTYPE_INT64:
      return std::to_string(reflection.GetInt64(aMessage, &aField));
    case pb::FieldDescriptor::CPPTYPE_UINT64:
      return std::to_string(reflection.GetUInt64(aMessage, &aField));
    case pb::FieldDescriptor::CPPTYPE_ENUM:
      return reflection.GetEnum(aMessage, &aField)->name();
    default:
      return "";
  }
}

/// Leaves out byte fields: salts and digests are binary, and the service clears
/// them.
bool IsShown(const pb::FieldDescriptor& aField)
{
  return aField.type() != pb::FieldDescriptor::TYPE_BYTES;
}

} // namespace

std::string Table::Text() const
{
  std::vector<size_t> widths;
  for (const auto& row : mRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

void PrintJson(const pb::Message& aMessage)
{
  std::string json;
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (pb::util::MessageToJsonString(aMessage, &json, options).ok()) {
    std::cout << json << "\n";
  }
}

const pb::Message* ObjectMessage(const v1::ConfigObject& aObject)
{
  const pb::FieldDescriptor* field =
    aObject.GetReflection()->GetOneofFieldDescriptor(
      aObject, v1::ConfigObject::descriptor()->oneof_decl(0));
  return field == nullptr
           ? nullptr
           : &aObject.GetReflection()->GetMessage(aObject, field);
}

std::vector<std::string> FieldNames(const pb::Descriptor& aType)
{
  std::vector<std::string> names;
  for (int i = 0; i < aType.field_count(); ++i) {
    if (IsShown(*aType.field(i))) {
      std::string name = aType.field(i)->name();
      std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
        return static_cast<char>(std::toupper(aChar));
      });
      names.push_back(std::move(name));
    }
  }
  return names;
}

std::vector<std::string> FieldValues(const pb::Message& aMessage)
{
  std::vector<std::string> values;
  const pb::Descriptor& type = *aMessage.GetDescriptor();
  for (int i = 0; i < type.field_count(); ++i) {
    if (IsShown(*type.field(i))) {
      values.push_back(ValueText(aMessage, *type.field(i)));
    }
  }
  return values;
}

Table ObjectTable(const v1::ListResponse& aList)
{
  std::vector<std::string> header{ "VERSION" };
  for (const v1::ListedObject& listed : aList.objects()) {
    if (const pb::Message* object = ObjectMessage(listed.value())) {
      const auto names = FieldNames(*object->GetDescriptor());
      header.insert(header.end(), names.begin(), names.end());
      break;
    }
  }
  Table table(std::move(header));
  for (const v1::ListedObject& listed : aList.objects()) {
    if (const pb::Message* object = ObjectMessage(listed.value())) {
      std::vector<std::string> row{ std::to_string(listed.version()) };
      const auto values = FieldValues(*object);
      row.insert(row.end(), values.begin(), values.end());
      table.Add(std::move(row));
    }
  }
  return table;
}

} // namespace agatetide::ctl
