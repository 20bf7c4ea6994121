#include "agatetide/ctl/objects.hpp"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <limits>

namespace agatetide::ctl {

namespace pb = google::protobuf;

namespace {

std::string Upper(std::string_view aText)
{
  std::string upper(aText);
  std::transform(upper.begin(), upper.end(), upper.begin(), [](char aChar) {
    return static_cast<char>(std::toupper(aChar));
  });
  return upper;
}

/// Finds an enumerator by its name in upper or lower case, with or without the
/// common prefix. Returns nullptr if there is none.
const pb::EnumValueDescriptor* FindEnumerator(const pb::EnumDescriptor& aType,
                                              std::string_view aText)
{
  const std::string wanted = Upper(aText);
  for (int i = 0; i < aType.value_count(); ++i) {
    const std::string& name = aType.value(i)->name();
    if (name == wanted || name.ends_with("_" + wanted)) {
      return aType.value(i);
    }
  }
  return nullptr;
}

Result<bool> SetBool(pb::Message& aMessage,
                     const pb::FieldDescriptor& aField,
                     const std::string& aValue)
{
  const bool yes = aValue == "true" || aValue == "yes";
  if (!yes && aValue != "false" && aValue != "no") {
    return UsageError(aField.name() + ": expected yes or no");
  }
  aMessage.GetReflection()->SetBool(&aMessage, &aField, yes);
  return true;
}

Result<bool> SetDouble(pb::Message& aMessage,
                       const pb::FieldDescriptor& aField,
                       const std::string& aValue)
{
  char* end = nullptr;
  const double value = std::strtod(aValue.c_str(), &end);
  if (aValue.empty() || *end != '\0') {
    return UsageError(aField.name() + ": \"" + aValue + "\" is not a number");
  }
  aMessage.GetReflection()->SetDouble(&aMessage, &aField, value);
  return true;
}

Result<bool> SetNumber(pb::Message& aMessage,
                       const pb::FieldDescriptor& aField,
                       const std::string& aValue)
{
  const auto value = ParseNumber(aField.name(), aValue);
  if (value.has_error()) {
    return value.error();
  }
  const pb::Reflection& reflection = *aMessage.GetReflection();
  if (aField.cpp_type() == pb::FieldDescriptor::CPPTYPE_UINT64) {
    reflection.SetUInt64(&aMessage, &aField, *value);
    return true;
  }
  if (*value > std::numeric_limits<uint32_t>::max()) {
    return UsageError(aField.name() + ": " + aValue + " is too large");
  }
  reflection.SetUInt32(&aMessage, &aField, static_cast<uint32_t>(*value));
  return true;
}

} // namespace

Result<bool> SetField(pb::Message& aMessage, std::string_view aAssignment)
{
  const size_t equals = aAssignment.find('=');
  if (equals == std::string_view::npos) {
    return UsageError("\"" + std::string(aAssignment) +
                      "\" does not have the form field=value");
  }
  const std::string name(aAssignment.substr(0, equals));
  const std::string value(aAssignment.substr(equals + 1));
  const pb::FieldDescriptor* field =
    aMessage.GetDescriptor()->FindFieldByName(name);
  if (field == nullptr) {
    std::string known;
    for (int i = 0; i < aMessage.GetDescriptor()->field_count(); ++i) {
      known += " " + aMessage.GetDescriptor()->field(i)->name();
    }
    return UsageError("there is no field " + name + "; the fields are" + known);
  }
  if (field->is_repeated()) {
    return UsageError(name + " is a list: write the object in a file and use "
                             "--file");
  }
  switch (field->cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_STRING:
      aMessage.GetReflection()->SetString(&aMessage, field, value);
      return true;
    case pb::FieldDescriptor::CPPTYPE_BOOL:
      return SetBool(aMessage, *field, value);
    case pb::FieldDescriptor::CPPTYPE_DOUBLE:
      return SetDouble(aMessage, *field, value);
    case pb::FieldDescriptor::CPPTYPE_UINT32:
    case pb::FieldDescriptor::CPPTYPE_UINT64:
      return SetNumber(aMessage, *field, value);
    case pb::FieldDescriptor::CPPTYPE_ENUM: {
      const auto* enumerator = FindEnumerator(*field->enum_type(), value);
      if (enumerator == nullptr) {
        return UsageError(name + ": \"" + value +
                          "\" is not one of its values");
      }
      aMessage.GetReflection()->SetEnum(&aMessage, field, enumerator);
      return true;
    }
    default:
      return UsageError(name + " cannot be set: use --file");
  }
}

} // namespace agatetide::ctl
