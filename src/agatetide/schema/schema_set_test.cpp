#include "agatetide/schema/schema_set.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::schema;

namespace {

const SchemaFile kFile{ "shop.proto", R"(
syntax = "proto3";
package shop.v1;
service Parts {
  rpc Find(FindRequest) returns (FindResponse) { option idempotency_level = NO_SIDE_EFFECTS; }
  rpc Book(FindRequest) returns (FindResponse);
}
message FindRequest { string part = 1; int32 count = 2; }
message FindResponse { string shelf = 1; }
)" };

std::shared_ptr<const SchemaSet> Parse(const SchemaFile& aFile)
{
  return SchemaSet::Create(std::span(&aFile, 1)).value();
}

} // namespace

// Guards against retrying a call that the schema does not declare idempotent.
Test(schema_set, only_declared_methods_are_idempotent)
{
  const auto set = Parse(kFile);
  cr_assert(set->Find("shop.v1.Parts/Find")->mIdempotent);
  cr_assert(!set->Find("shop.v1.Parts/Book")->mIdempotent);
  cr_assert_null(set->Find("shop.v1.Parts/Drop"));
}

// Guards against forwarding bodies that do not match the schema.
Test(schema_set, refuses_unknown_fields_and_wrong_types)
{
  const auto set = Parse(kFile);
  cr_assert(set
              ->ToJson("shop.v1.FindRequest",
                       R"({"part":"leg","count":2})",
                       Encoding::Json)
              .has_value());
  cr_assert(
    set->ToJson("shop.v1.FindRequest", R"({"colour":"red"})", Encoding::Json)
      .has_error());
  cr_assert(
    set->ToJson("shop.v1.FindRequest", R"({"count":"many"})", Encoding::Json)
      .has_error());
  cr_assert(
    set->ToJson("shop.v1.FindRequest", "\xff\xff\xff", Encoding::Protobuf)
      .has_error());
}

// Guards against accepting an invalid schema file, and against an error that
// does not say where the fault is.
Test(schema_set, names_the_line_of_a_syntax_error)
{
  const SchemaFile bad{ "bad.proto", "syntax = \"proto3\";\nmessage {" };
  const auto result = SchemaSet::Create(std::span(&bad, 1));
  cr_assert(result.has_error());
  cr_assert(result.error().mMessage.find("bad.proto:2") != std::string::npos);
}
