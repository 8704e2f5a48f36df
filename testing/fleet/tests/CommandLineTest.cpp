// The command lines of porttiller and porttillerctl: exit codes and output.
#include "fleet/Ports.h"
#include "standin/ChildProcess.h"
#include "standin/PlatformStandIn.h"
#include "standin/RawServerStandIn.h"

#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

using namespace porttiller;

namespace {

constexpr Millis kExitWait{ 20'000 };

struct Result
{
  int mExitCode = -1;
  std::string mText;
};

std::string
WriteFile(const std::string& aText)
{
  auto path = Poco::TemporaryFile::tempName();
  std::ofstream(path) << aText;
  Poco::TemporaryFile::registerForDeletion(path);
  return path;
}

std::string
ReadFile(const std::string& aPath)
{
  const std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result
RunProgram(const char* aProgram, const std::vector<std::string>& aArguments)
{
  const auto log = WriteFile("");
  standin::ChildProcess process(aProgram, aArguments, log);
  const int code = process.WaitForExit(kExitWait);
  return { code, ReadFile(log) };
}

class Ctl
{
public:
  Result operator()(std::vector<std::string> aArguments) const
  {
    aArguments.insert(aArguments.begin(),
                      { "--platform", mPlatform.Address() });
    return RunProgram(PORTTILLER_CTL, aArguments);
  }

  Result Apply(const std::string& aDocument) const
  {
    return (*this)({ "apply", "-f", WriteFile(aDocument) });
  }

  mutable standin::PlatformStandIn mPlatform{ "127.0.0.1:0" };
};

constexpr const char* kService =
  R"({"kind": "Service", "name": "ledger", "spec": {"floor_slots": 9}})";

} // namespace

TEST_CASE("porttiller reports every invalid setting and exits with 2")
{
  const auto file = WriteFile(R"({"box": "a", "colour": 1,
    "callers": {"threads": 0}, "platform_address": "x"})");
  const auto result = RunProgram(PORTTILLER_DAEMON, { "--config", file });
  CHECK(result.mExitCode == 2);
  for (const char* path :
       { "colour: ", "zone: ", "callers.threads: ", "platform_address: " }) {
    CHECK(result.mText.find(path) != std::string::npos);
  }
}

TEST_CASE("porttiller --check and --print-config need no platform, and without "
          "--config it exits with 2")
{
  const auto file = WriteFile(
    R"({"box": "a", "zone": "z", "platform_address": "127.0.0.1:1"})");
  CHECK(
    RunProgram(PORTTILLER_DAEMON, { "--config", file, "--check" }).mExitCode ==
    0);
  const auto printed =
    RunProgram(PORTTILLER_DAEMON, { "--config", file, "--print-config" });
  CHECK(printed.mExitCode == 0);
  CHECK(printed.mText.find("\"drain_ms\": 10000") != std::string::npos);
  CHECK(RunProgram(PORTTILLER_DAEMON, {}).mExitCode == 2);
}

TEST_CASE("porttiller reports an address that is in use and exits with 1")
{
  const standin::HttpStandIn taken("127.0.0.1:0", {});
  const auto own = [](int aPort) {
    return "\"127.0.0.1:" + std::to_string(fleet::TestPort(aPort)) + "\"";
  };
  const auto file = WriteFile(
    R"({"box": "a", "zone": "z", "platform_address": "127.0.0.1:1",
        "admin_address": )" +
    own(22'403) + R"(, "peers": {"home_address": )" + own(22'401) +
    R"(, "control_address": )" + own(22'402) +
    R"(}, "callers": {"address": ")" + taken.Address() + "\"}}");
  const auto result = RunProgram(PORTTILLER_DAEMON, { "--config", file });
  CHECK(result.mExitCode == 1);
  CHECK(result.mText.find("cannot listen: " + taken.Address()) !=
        std::string::npos);
}

TEST_CASE("porttillerctl applies, shows, lists and deletes objects")
{
  const Ctl ctl;
  CHECK(ctl.Apply(kService).mText.find("created") != std::string::npos);
  CHECK(ctl.Apply(kService).mText.find("updated") != std::string::npos);
  CHECK(ctl({ "get", "Service", "ledger" }).mText.find("floor_slots") !=
        std::string::npos);
  CHECK(ctl({ "list", "Service", "-o", "json" }).mText.find("\"ledger\"") !=
        std::string::npos);
  CHECK(ctl({ "status", "ledger" }).mExitCode == 0);
  CHECK(ctl({ "delete", "Service", "ledger" }).mExitCode == 0);
  CHECK(ctl({ "get", "Service", "ledger" }).mExitCode == 6);
}

TEST_CASE("porttillerctl clear checks the digest and needs a daemon")
{
  const Ctl ctl;
  CHECK(ctl({ "clear", "127.0.0.1:1", "abc" }).mExitCode == 2);
  const auto result = ctl({ "clear", "127.0.0.1:1", std::string(32, 'a') });
  CHECK(result.mText.find("no answer") != std::string::npos);
}

TEST_CASE("porttillerctl shows server start times, leaving servers and "
          "unreadable records")
{
  const Ctl ctl;
  ctl.Apply(kService);
  ctl.mPlatform.Put(
    { "box-records", "b" },
    R"({"box":"b","zone":"z","home":"10.0.0.1:1","control":"10.0.0.1:2",)"
    R"("incarnation":"7","revision":"9","server":{"id":"i-1",)"
    R"("start_ms":"1764753600123","service":"ledger","address":"10.0.0.1:3",)"
    R"("slots":4,"state":"draining","sequence":"12"}})");
  ctl.mPlatform.Put({ "box-records", "x" }, R"({"state":"resting"})");
  const auto status = ctl({ "status" }).mText;
  CHECK(status.find("1764753600123") != std::string::npos);
  CHECK(status.find("leaving (it announced that)") != std::string::npos);
  CHECK(status.find("unreadable: box-records/x") != std::string::npos);
}

TEST_CASE("porttillerctl shows the valid objects beside odd ones")
{
  constexpr std::size_t kDeep = 1000;
  const auto deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  const Ctl ctl;
  ctl.Apply(kService);
  int count = 0;
  for (const auto& spec :
       { deep,
         R"({"floor_slots":)" + deep + "}",
         std::string(R"({"floor_slots":99999999999999999999})"),
         std::string("1e999"),
         std::string("null") }) {
    const auto name = "odd-" + std::to_string(count++);
    ctl.mPlatform.Put({ "Service", name }, spec);
    ctl.mPlatform.Put({ "BackendServer", name }, spec);
    ctl.mPlatform.Put({ "box-records", name }, spec);
  }
  for (const auto& [name, port] :
       { std::pair("valid", "1"), std::pair("no-port", "0") }) {
    ctl.mPlatform.Put(
      { "BackendServer", name },
      R"({"service":"ledger","box":"a","slots":1,"address":"10.0.0.1:)" +
        std::string(port) + "\"}");
  }
  const auto status = ctl({ "status" });
  CHECK(status.mExitCode == 0);
  CHECK(status.mText.find("valid") != std::string::npos);
  CHECK(status.mText.find("no-port") == std::string::npos);
  for (int i = 0; i < count; ++i) {
    CHECK(status.mText.find("unreadable: box-records/odd-" +
                            std::to_string(i)) != std::string::npos);
  }
  const auto list = ctl({ "list", "Service" });
  CHECK(list.mExitCode == 0);
  CHECK(list.mText.find("ledger") != std::string::npos);
  CHECK(list.mText.find("odd-4") != std::string::npos);
  CHECK(ctl({ "get", "Service", "odd-0" }).mExitCode == 0);
}

TEST_CASE(
  "porttillerctl names the field of an invalid object and writes nothing")
{
  const Ctl ctl;
  const auto result = ctl.Apply(
    R"({"kind": "Service", "name": "s", "spec": {"floor_slots": -1}})");
  CHECK(result.mExitCode == 4);
  CHECK(result.mText.find("spec.floor_slots") != std::string::npos);
  CHECK(ctl.mPlatform.Writes() == 0);
}

TEST_CASE("porttillerctl distinguishes an outage from a lost answer")
{
  const Ctl ctl;
  ctl.mPlatform.LoseWriteAnswers(1);
  CHECK(ctl.Apply(kService).mExitCode == 0);
  CHECK(ctl.mPlatform.Writes() == 1);
  ctl.mPlatform.SetDown(true);
  CHECK(ctl.Apply(kService).mExitCode == 3);
}

TEST_CASE("Of two concurrent writes by operators one takes effect and the "
          "other reports a conflict")
{
  const Ctl ctl;
  const auto version = ctl.mPlatform.Put({ "Service", "ledger" }, "{}");
  const auto document = [&](int aFloor) {
    return R"({"kind": "Service", "name": "ledger", "version": )" +
           std::to_string(version) + R"(, "spec": {"floor_slots": )" +
           std::to_string(aFloor) + "}}";
  };
  Result first;
  Result second;
  std::thread other([&] { first = ctl.Apply(document(1)); });
  second = ctl.Apply(document(2));
  other.join();
  CHECK(first.mExitCode + second.mExitCode == 5);
  const auto winner = first.mExitCode == 0 ? "1" : "2";
  CHECK(ctl.mPlatform.SpecOf({ "Service", "ledger" }) ==
        std::string("{\"floor_slots\":") + winner + "}");
}

TEST_CASE("porttillerctl watch prints changes as they happen")
{
  const Ctl ctl;
  std::thread writer([&] {
    while (ctl.mPlatform.Calls() < 2) {
      std::this_thread::sleep_for(Millis(5));
    }
    ctl.mPlatform.Put({ "Route", "new-route" }, "{}");
  });
  const auto result = ctl({ "watch", "Route", "--count", "1" });
  writer.join();
  CHECK(result.mExitCode == 0);
  CHECK(result.mText.find("new-route") != std::string::npos);
}

TEST_CASE("porttillerctl shows the number of API keys and the position of "
          "invalid ones, but not the keys")
{
  const Ctl ctl;
  CHECK(ctl
          .Apply(R"({"kind": "Workspace", "name": "w", "spec":
    {"keys": ["secret-1", "secret-2"], "rate_per_s": 7}})")
          .mExitCode == 0);
  for (const auto& arguments : std::vector<std::vector<std::string>>{
         { "get", "Workspace", "w" },
         { "--output", "json", "get", "Workspace", "w" },
         { "list", "Workspace" } }) {
    const auto shown = ctl(arguments);
    CAPTURE(shown.mText);
    CHECK(shown.mExitCode == 0);
    CHECK(shown.mText.find("secret") == std::string::npos);
    CHECK(shown.mText.find("key_count") != std::string::npos);
  }
  const auto bad = ctl.Apply(R"({"kind": "Workspace", "name": "w", "spec":
    {"keys": ["secret 3", "secret-4", "secret-4"]}})");
  CHECK(bad.mExitCode != 0);
  CHECK(bad.mText.find("key 1") != std::string::npos);
  CHECK(bad.mText.find("key 3") != std::string::npos);
  CHECK(bad.mText.find("secret") == std::string::npos);
}

TEST_CASE("porttillerctl prints nothing of a malformed answer")
{
  const std::string body = "Content-Length: 33\r\n\r\n"
                           R"({"kind":"Service","name":"broken"})";
  for (const char* head : { "HTTP/1.1 000 X\r\n",
                            "HTTP/1.1 999 X\r\n",
                            "HTTP/1.1 200 OK\r\nX Foo: 1\r\n",
                            "HTTP/1.1 200 O\rK\r\n" }) {
    CAPTURE(head);
    const standin::RawServerStandIn server("127.0.0.1:0", head + body);
    const auto dumped =
      RunProgram(PORTTILLER_CTL, { "dump", server.Address() });
    CHECK(dumped.mExitCode != 0);
    CHECK(dumped.mText.find("malformed") != std::string::npos);
    CHECK(dumped.mText.find("broken") == std::string::npos);
    const auto listed = RunProgram(
      PORTTILLER_CTL, { "--platform", server.Address(), "list", "Service" });
    CHECK(listed.mExitCode != 0);
    CHECK(listed.mText.find("malformed") != std::string::npos);
    CHECK(listed.mText.find("broken") == std::string::npos);
  }
}
