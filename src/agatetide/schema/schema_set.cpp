#include "agatetide/schema/schema_set.hpp"

#include <google/protobuf/compiler/importer.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/type_resolver_util.h>

#include <map>

namespace agatetide::schema {

namespace pb = google::protobuf;

namespace {

constexpr const char* kTypeUrlPrefix = "type.agatetide";

/// Resolves imports from the uploaded files.
class MemorySourceTree : public pb::compiler::SourceTree
{
public:
  explicit MemorySourceTree(std::span<const SchemaFile> aFiles)
  {
    for (const SchemaFile& file : aFiles) {
      mFiles[file.mName] = file.mSource;
    }
  }

  pb::io::ZeroCopyInputStream* Open(const std::string& aName) override
  {
    const auto found = mFiles.find(aName);
    if (found == mFiles.end()) {
      return nullptr;
    }
    return new pb::io::ArrayInputStream(found->second.data(),
                                        static_cast<int>(found->second.size()));
  }

  std::string GetLastErrorMessage() override
  {
    return "the file has not been uploaded";
  }

private:
  std::map<std::string, std::string> mFiles;
};

/// Joins the errors of the parser as "file:line:column: text".
class ErrorCollector : public pb::compiler::MultiFileErrorCollector
{
public:
  void AddError(const std::string& aFile,
                int aLine,
                int aColumn,
                const std::string& aText) override
  {
    if (!mText.empty()) {
      mText += "; ";
    }
    mText += aFile + ":" + std::to_string(aLine + 1) + ":" +
             std::to_string(aColumn + 1) + ": " + aText;
  }

  const std::string& Text() const { return mText; }

private:
  std::string mText;
};

Method ToMethod(const pb::MethodDescriptor& aMethod)
{
  Method method;
  method.mName = aMethod.service()->full_name() + "/" + aMethod.name();
  method.mRequestType = aMethod.input_type()->full_name();
  method.mResponseType = aMethod.output_type()->full_name();
  method.mIdempotent = aMethod.options().idempotency_level() !=
                       pb::MethodOptions::IDEMPOTENCY_UNKNOWN;
  return method;
}

Error BodyError(const std::string& aType, const std::string& aReason)
{
  return { ErrorKind::InvalidArgument,
           "the body is not a valid " + aType + ": " + aReason,
           "send a body that matches the schema" };
}

} // namespace

struct SchemaSet::State
{
  explicit State(std::span<const SchemaFile> aFiles)
    : mTree(aFiles)
    , mImporter(&mTree, &mErrors)
  {
  }

  MemorySourceTree mTree;
  ErrorCollector mErrors;
  pb::compiler::Importer mImporter;
  std::unique_ptr<pb::util::TypeResolver> mResolver;
  std::map<std::string, Method, std::less<>> mMethods;

  /// Whether aBinary is a valid message of the type. The JSON printer ignores
  /// some malformed input that ParseFromString() rejects.
  bool IsValidBinary(const std::string& aType, const std::string& aBinary) const
  {
    const pb::Descriptor* type = mImporter.pool()->FindMessageTypeByName(aType);
    if (type == nullptr) {
      return false;
    }
    pb::DynamicMessageFactory factory;
    const std::unique_ptr<pb::Message> message(
      factory.GetPrototype(type)->New());
    return message->ParseFromString(aBinary);
  }
};

Result<std::shared_ptr<const SchemaSet>> SchemaSet::Create(
  std::span<const SchemaFile> aFiles)
{
  // By default protobuf writes a line to standard error for each malformed
  // message, so callers could flood the log. The errors are returned instead.
  static const auto kPreviousHandler = pb::SetLogHandler(nullptr);
  static_cast<void>(kPreviousHandler);
  auto state = std::make_unique<State>(aFiles);
  for (const SchemaFile& file : aFiles) {
    const pb::FileDescriptor* descriptor = state->mImporter.Import(file.mName);
    if (descriptor == nullptr) {
      return Error{ ErrorKind::InvalidArgument,
                    "schema file is not valid: " + state->mErrors.Text(),
                    "correct the file and check it again" };
    }
    for (int i = 0; i < descriptor->service_count(); ++i) {
      const pb::ServiceDescriptor* service = descriptor->service(i);
      for (int j = 0; j < service->method_count(); ++j) {
        Method method = ToMethod(*service->method(j));
        state->mMethods.emplace(method.mName, method);
      }
    }
  }
  state->mResolver.reset(pb::util::NewTypeResolverForDescriptorPool(
    kTypeUrlPrefix, state->mImporter.pool()));
  return std::shared_ptr<const SchemaSet>(new SchemaSet(std::move(state)));
}

SchemaSet::SchemaSet(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

SchemaSet::~SchemaSet() = default;

const Method* SchemaSet::Find(std::string_view aName) const
{
  const auto found = mState->mMethods.find(aName);
  return found == mState->mMethods.end() ? nullptr : &found->second;
}

std::vector<Method> SchemaSet::Methods() const
{
  std::vector<Method> methods;
  for (const auto& [name, method] : mState->mMethods) {
    methods.push_back(method);
  }
  return methods;
}

Result<std::string> SchemaSet::ToJson(const std::string& aType,
                                      std::string_view aBody,
                                      Encoding aEncoding) const
{
  const std::string url = std::string(kTypeUrlPrefix) + "/" + aType;
  std::string binary(aBody);
  if (aEncoding == Encoding::Json) {
    const pb::StringPiece text(aBody.data(), aBody.size());
    binary.clear();
    const auto parsed =
      pb::util::JsonToBinaryString(mState->mResolver.get(), url, text, &binary);
    if (!parsed.ok()) {
      return BodyError(aType, std::string(parsed.message()));
    }
  }
  if (aEncoding == Encoding::Protobuf &&
      !mState->IsValidBinary(aType, binary)) {
    return BodyError(aType, "malformed protobuf");
  }
  std::string json;
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  const auto printed = pb::util::BinaryToJsonString(
    mState->mResolver.get(), url, binary, &json, options);
  if (!printed.ok()) {
    return BodyError(aType, std::string(printed.message()));
  }
  return json;
}

Result<std::string> SchemaSet::FromJson(const std::string& aType,
                                        std::string_view aJson,
                                        Encoding aEncoding) const
{
  const std::string url = std::string(kTypeUrlPrefix) + "/" + aType;
  const pb::StringPiece text(aJson.data(), aJson.size());
  std::string binary;
  const auto parsed =
    pb::util::JsonToBinaryString(mState->mResolver.get(), url, text, &binary);
  if (!parsed.ok()) {
    return BodyError(aType, std::string(parsed.message()));
  }
  return aEncoding == Encoding::Protobuf ? binary : std::string(aJson);
}

} // namespace agatetide::schema
