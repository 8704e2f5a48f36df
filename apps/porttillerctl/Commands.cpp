#include "Commands.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/config/Resources.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/http/HttpPool.h"
#include "porttiller/store/WriteWithReadBack.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace porttiller::ctl {

namespace {

constexpr Millis kWatchTimeout{ 10'000 }; // of one long poll
constexpr Millis kDaemonTimeout{ 3000 };
constexpr int kHttpOk = 200;

ExitCode
Usage(const std::string& aText)
{
  std::cerr << "porttillerctl: usage: " << aText << "\n";
  return ExitCode::kUsage;
}

ExitCode
Get(ObjectClient& aClient, const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 2) {
    return Usage("get KIND NAME");
  }
  const ObjectKey key{ aArguments.mOperands[0], aArguments.mOperands[1] };
  const auto object = aClient.Get(key);
  if (!object) {
    return ReportError(key.mKind + " " + key.mName, object.error());
  }
  PrintObject(*object, aArguments.mFormat);
  return ExitCode::kOk;
}

ExitCode
List(ObjectClient& aClient, const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 1) {
    return Usage("list KIND");
  }
  const auto list = aClient.List(aArguments.mOperands[0]);
  if (!list) {
    return ReportError("list", list.error());
  }
  PrintObjects(list->mObjects, aArguments.mFormat);
  return ExitCode::kOk;
}

ExitCode
Delete(ObjectClient& aClient, const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 2) {
    return Usage("delete KIND NAME");
  }
  const ObjectKey key{ aArguments.mOperands[0], aArguments.mOperands[1] };
  const auto current = aClient.Get(key);
  if (!current) {
    return ReportError(key.mKind + " " + key.mName, current.error());
  }
  const auto deleted = aClient.Delete(key, current->mVersion);
  if (!deleted) {
    return ReportError("delete", deleted.error());
  }
  std::cout << key.mKind << " " << key.mName << " deleted at version "
            << *deleted << "\n";
  return ExitCode::kOk;
}

ExitCode
Watch(ObjectClient& aClient, const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 1) {
    return Usage("watch KIND [--count N]");
  }
  const auto& kind = aArguments.mOperands[0];
  const auto list = aClient.List(kind);
  if (!list) {
    return ReportError("watch", list.error());
  }
  PrintObjects(list->mObjects, aArguments.mFormat);
  auto revision = list->mTo;
  int left = aArguments.mCount;
  while (aArguments.mCount == 0 || left > 0) {
    const auto changes = aClient.Watch(kind, revision, kWatchTimeout);
    if (!changes) {
      return ReportError("watch", changes.error());
    }
    for (const auto& object : changes->mObjects) {
      PrintObject(object, aArguments.mFormat);
      --left;
    }
    revision = changes->mTo;
  }
  return ExitCode::kOk;
}

// An object of the file passed to apply.
struct Document
{
  ObjectKey mKey;
  std::string mSpec;
  std::uint64_t mVersion = 0; // expected version; 0: any
};

tl::expected<Document, FieldErrors>
ReadDocument(const Poco::JSON::Object::Ptr& aJson)
{
  FieldErrors errors;
  FieldReader reader(aJson, "", errors);
  Document document;
  document.mKey = { reader.String("kind"), reader.String("name") };
  document.mVersion = static_cast<std::uint64_t>(
    reader.IntegerOr("version", { 0, INT64_MAX }, 0));
  static_cast<void>(reader.Child("spec"));
  reader.RejectUnknownKeys();
  if (errors.empty() && !aJson->has("spec")) {
    reader.Fail("spec", "is required");
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  document.mSpec = ToJsonText(*aJson->getObject("spec"));
  auto checked =
    ParseResource(document.mKey.mKind, document.mKey.mName, document.mSpec);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  return document;
}

tl::expected<std::vector<Document>, FieldErrors>
ReadDocuments(const std::string& aText)
{
  const auto json = ParseJsonObject(aText);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  std::vector<Document> documents;
  FieldErrors errors;
  const auto read = [&](const Poco::JSON::Object::Ptr& aItem) {
    auto document = ReadDocument(aItem);
    if (document) {
      documents.push_back(std::move(*document));
      return;
    }
    const auto name = aItem->optValue<std::string>("name", "?");
    for (const auto& error : document.error()) {
      errors.push_back({ name + ": " + error.mPath, error.mProblem });
    }
  };
  const auto items = (*json)->getArray("items");
  if (items.isNull()) {
    read(*json);
  } else {
    for (unsigned i = 0; i < items->size(); ++i) {
      if (const auto item = items->getObject(i)) {
        read(item);
      } else {
        errors.push_back({ "items", "must hold objects only" });
      }
    }
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return documents;
}

ExitCode
ApplyOne(ObjectClient& aClient, const Document& aDocument)
{
  auto version = aDocument.mVersion;
  if (version == 0) {
    const auto current = aClient.Get(aDocument.mKey);
    if (!current && current.error().mKind != StoreErrorKind::kNotFound) {
      return ReportError("apply", current.error());
    }
    version = current ? current->mVersion : 0;
  }
  const auto written =
    WriteWithReadBack(aClient, aDocument.mKey, version, aDocument.mSpec);
  const auto name = aDocument.mKey.mKind + " " + aDocument.mKey.mName;
  if (!written) {
    return ReportError(name, written.error());
  }
  std::cout << name << (version == 0 ? " created" : " updated")
            << " at version " << *written << "\n";
  return ExitCode::kOk;
}

ExitCode
Apply(ObjectClient& aClient, const Arguments& aArguments)
{
  std::ifstream stream(aArguments.mFile);
  if (aArguments.mFile.empty() || !stream) {
    return Usage("apply -f FILE (a file that can be read)");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  const auto documents = ReadDocuments(text.str());
  if (!documents) {
    std::cerr << ToText(documents.error());
    return ExitCode::kInvalid;
  }
  for (const auto& document : *documents) {
    const auto result = ApplyOne(aClient, document);
    if (result != ExitCode::kOk) {
      return result;
    }
  }
  return ExitCode::kOk;
}

// Sends a request to a daemon's admin address and prints the answer's body.
ExitCode
CallDaemon(const std::string& aAddress, const HttpRequestData& aRequest)
{
  HttpPool pool({ .mAddress = aAddress });
  const auto deadline = Now() + kDaemonTimeout;
  const auto exchange = pool.Begin(aRequest, deadline);
  if (!exchange || !(*exchange)->WaitReadable(deadline)) {
    std::cerr << "porttillerctl: no answer from " << aAddress << "\n";
    return ExitCode::kUnavailable;
  }
  const auto answer = (*exchange)->ReadAnswer(deadline);
  if (!answer) {
    std::cerr << "porttillerctl: bad answer: " << ToText(answer.error())
              << "\n";
    return ExitCode::kFailed;
  }
  std::cout << answer->mBody;
  return answer->mStatus == kHttpOk ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode
Dump(const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 1) {
    return Usage("dump ADMIN-IP:PORT");
  }
  return CallDaemon(aArguments.mOperands[0],
                    { .mMethod = "GET", .mTarget = "/state" });
}

ExitCode
Clear(const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 2 ||
      !RequestDigest::Parse(aArguments.mOperands[1])) {
    return Usage("clear ADMIN-IP:PORT DIGEST");
  }
  return CallDaemon(
    aArguments.mOperands[0],
    { .mMethod = "POST",
      .mTarget = "/requests/" + aArguments.mOperands[1] + "/clear" });
}

} // namespace

ExitCode
RunCommand(ObjectClient& aClient, const Arguments& aArguments)
{
  const auto& command = aArguments.mCommand;
  if (command == "get") {
    return Get(aClient, aArguments);
  }
  if (command == "list") {
    return List(aClient, aArguments);
  }
  if (command == "apply") {
    return Apply(aClient, aArguments);
  }
  if (command == "delete") {
    return Delete(aClient, aArguments);
  }
  if (command == "watch") {
    return Watch(aClient, aArguments);
  }
  if (command == "status") {
    return RunStatus(aClient, aArguments);
  }
  if (command == "dump") {
    return Dump(aArguments);
  }
  if (command == "clear") {
    return Clear(aArguments);
  }
  return Usage("get | list | apply | delete | watch | status | dump | clear");
}

} // namespace porttiller::ctl
