#include "agatetide/process/settings_schema.hpp"

// The valijson adapter requires nlohmann/json to be included first.
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <string>
#include <vector>

namespace agatetide::process {

namespace {

using valijson::adapters::NlohmannJsonAdapter;

/// Returns "limits.maxFds" for the validator's names of the levels, "<root>",
/// "[limits]" and "[maxFds]".
std::string JoinPath(const std::vector<std::string>& aLevels)
{
  constexpr std::string_view kRoot = "<root>";
  constexpr std::string_view kQuotes = "[]\"'";
  std::string path;
  for (const std::string& level : aLevels) {
    if (level == kRoot) {
      continue;
    }
    path += path.empty() ? "" : ".";
    const size_t start = level.find_first_not_of(kQuotes);
    const size_t end = level.find_last_not_of(kQuotes);
    path +=
      start == std::string::npos ? level : level.substr(start, end + 1 - start);
  }
  return path.empty() ? "settings" : path;
}

/// Returns "field: reason" for the first error, which is the innermost one.
std::string DescribeFirstError(valijson::ValidationResults& aResults)
{
  valijson::ValidationResults::Error error;
  if (!aResults.popError(error)) {
    return "settings: they do not match the schema";
  }
  return JoinPath(error.context) + ": " + error.description;
}

} // namespace

Result<bool> CheckSettings(const nlohmann::json& aSettings,
                           std::string_view aSchema)
{
  const nlohmann::json schemaText = nlohmann::json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(NlohmannJsonAdapter(schemaText), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (!validator.validate(schema, NlohmannJsonAdapter(aSettings), &results)) {
    return Error{ ErrorKind::InvalidArgument,
                  DescribeFirstError(results),
                  "see the settings reference, docs/settings.md" };
  }
  return true;
}

} // namespace agatetide::process
