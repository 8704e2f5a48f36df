#include "World.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr Millis kPoll{ 20 };
constexpr Millis kPingInterval{ 1500 }; // HeartbeatMs
constexpr Millis kPingTimeout{ 1000 };
constexpr int kQueue = 36;
constexpr const char* kTemplate = "deploy/porttiller.json";
constexpr const char* kProgram = "target/apps/porttiller/porttiller";

std::string
ReadFile(const std::string& aPath)
{
  const std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

// The value of a parameter of the query, or "".
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const auto query = aTarget.find('?');
  if (query == std::string::npos) {
    return {};
  }
  std::stringstream parts(aTarget.substr(query + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.starts_with(aName + "=")) {
      return part.substr(aName.size() + 1);
    }
  }
  return {};
}

// Position after the JSON value that begins at aAt.
std::size_t
EndOfValue(const std::string& aJson, std::size_t aAt)
{
  int depth = 0;
  bool inString = false;
  for (; aAt < aJson.size(); ++aAt) {
    const char sign = aJson[aAt];
    if (inString) {
      aAt += sign == '\\' ? 1 : 0;
      inString = sign != '"';
      continue;
    }
    if (sign == '"') {
      inString = true;
    } else if (sign == '{' || sign == '[') {
      ++depth;
    } else if (depth == 0 && (sign == ',' || sign == '}' || sign == ']')) {
      return aAt;
    } else if (sign == '}' || sign == ']') {
      --depth;
    }
  }
  return aAt;
}

std::string
RecordFile()
{
  const char* file = std::getenv("RECORD");
  return file == nullptr ? "record.txt" : file;
}

std::uint64_t
NumberOf(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

Record::Record(const std::string& aFile)
  : mFile(aFile)
  , mStart(Clock::now())
{
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const std::chrono::duration<double> at = Clock::now() - mStart;
  std::ostringstream line;
  line << std::fixed << std::setprecision(3) << at.count() << " " << aText;
  mFile << line.str() << std::endl;
}

std::string
RawField(const std::string& aJson, const std::string& aName)
{
  auto at = aJson.find('{');
  while (at != std::string::npos && at < aJson.size()) {
    const auto open = aJson.find('"', at + 1);
    const auto close = aJson.find('"', open + 1);
    if (open == std::string::npos || close == std::string::npos) {
      return {};
    }
    const auto value =
      aJson.find_first_not_of(" \n", aJson.find(':', close) + 1);
    const auto end = EndOfValue(aJson, value);
    if (aJson.substr(open + 1, close - open - 1) == aName) {
      return aJson.substr(value, end - value);
    }
    at = end;
    if (at < aJson.size() && aJson[at] != ',') {
      return {};
    }
  }
  return {};
}

void
Store::Open(const std::string& aAddress)
{
  mListeners.push_back(std::make_unique<Listener>(
    aAddress,
    [this, aAddress](const Request& aRequest, Connection& aConnection) {
      return Serve(aAddress, aRequest, aConnection);
    }));
}

void
Store::SetBusy(const std::string& aAddress, bool aBusy)
{
  const std::lock_guard lock(mMutex);
  if (aBusy) {
    mBusy.insert(aAddress);
  } else {
    mBusy.erase(aAddress);
  }
}

std::uint64_t
Store::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
{
  const std::lock_guard lock(mMutex);
  return PutLocked({ aKind, aName }, aSpec);
}

std::string
Store::SpecOf(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  const auto it = mEntries.find({ aKind, aName });
  return it == mEntries.end() ? "" : it->second.mSpec;
}

std::uint64_t
Store::PutLocked(const Key& aKey, const std::string& aSpec)
{
  auto& entry = mEntries[aKey];
  if (entry.mRev != 0 && entry.mSpec == aSpec) {
    return entry.mRev; // changes nothing
  }
  entry.mSpec = aSpec;
  entry.mRev = ++mRevision;
  entry.mCreatedRev = entry.mCreatedRev == 0 ? mRevision : entry.mCreatedRev;
  return entry.mRev;
}

std::string
Store::ObjectOf(const Key& aKey) const
{
  const auto& entry = mEntries.at(aKey);
  return R"({"Metadata":{"Name":)" + Quoted(aKey.second) + R"(,"Rev":)" +
         std::to_string(entry.mRev) + R"(,"CreatedRev":)" +
         std::to_string(entry.mCreatedRev) +
         R"(,"Finalizers":[],"Deleting":false},"Spec":)" + entry.mSpec +
         R"(,"Status":null})";
}

bool
Store::Serve(const std::string& aAddress,
             const Request& aRequest,
             Connection& aConnection)
{
  if (mReset) {
    return false;
  }
  bool busy = false;
  {
    const std::lock_guard lock(mMutex);
    busy = mBusy.contains(aAddress);
  }
  const auto answer = busy ? Answer{ 503, "{}" } : AnswerTo(aRequest);
  return aConnection.Write(ToText(answer.mStatus,
                                  { { "Content-Type", "application/json" } },
                                  answer.mBody),
                           Clock::now() + std::chrono::seconds(5));
}

Store::Answer
Store::AnswerTo(const Request& aRequest)
{
  constexpr std::string_view kPath = "/porttiller/objects/";
  const auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (!path.starts_with(kPath)) {
    return { 404, "{}" };
  }
  const auto rest = path.substr(kPath.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  const auto watch = Parameter(aRequest.mTarget, "Watch");
  if (!watch.empty()) {
    const auto wait = NumberOf(Parameter(aRequest.mTarget, "WaitMs"));
    return Watch(kind, NumberOf(watch), Millis(static_cast<Millis::rep>(wait)));
  }
  if (aRequest.mMethod == "POST") {
    const auto metadata = RawField(aRequest.mBody, "Metadata");
    const auto name = RawField(metadata, "Name");
    return Write(
      { kind, name.substr(1, name.size() - 2) }, aRequest.mBody, true);
  }
  const std::unique_lock lock(mMutex);
  if (slash == std::string::npos) {
    std::string items;
    for (const auto& [key, entry] : mEntries) {
      if (key.first == kind) {
        items += (items.empty() ? "" : ",") + ObjectOf(key);
      }
    }
    return { 200,
             R"({"items":[)" + items +
               R"(],"MorePages":false,"StoreRevision":)" +
               std::to_string(mRevision) + "}" };
  }
  const Key key{ kind, rest.substr(slash + 1) };
  if (!mEntries.contains(key)) {
    return { 404, "{}" };
  }
  if (aRequest.mMethod == "GET") {
    return { 200, ObjectOf(key) };
  }
  if (aRequest.mMethod == "DELETE") {
    const auto object = ObjectOf(key);
    ++mRevision;
    mEntries.erase(key);
    return { 200, object };
  }
  const auto rev =
    NumberOf(RawField(RawField(aRequest.mBody, "Metadata"), "Rev"));
  if (rev != 0 && rev != mEntries.at(key).mRev) {
    return { 409, ObjectOf(key) };
  }
  PutLocked(key, RawField(aRequest.mBody, "Spec"));
  return { 200, ObjectOf(key) };
}

Store::Answer
Store::Write(const Key& aKey, const std::string& aBody, bool aCreate)
{
  const std::lock_guard lock(mMutex);
  if (aCreate && mEntries.contains(aKey)) {
    return { 409, ObjectOf(aKey) };
  }
  PutLocked(aKey, RawField(aBody, "Spec"));
  return { 200, ObjectOf(aKey) };
}

Store::Answer
Store::Watch(const std::string& aKind, std::uint64_t aFrom, Millis aWait)
{
  const auto until = Clock::now() + aWait;
  for (;;) {
    {
      const std::lock_guard lock(mMutex);
      std::string events;
      for (const auto& [key, entry] : mEntries) {
        if (key.first == aKind && entry.mRev > aFrom) {
          events += events.empty() ? "" : ",";
          events += R"({"Deleted":false,"Object":)" + ObjectOf(key) + "}";
        }
      }
      if (!events.empty() || Clock::now() >= until || mReset) {
        return { 200,
                 R"({"events":[)" + events + R"(],"StoreRevision":)" +
                   std::to_string(mRevision) + "}" };
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
}

Server::Server(ServerOptions aOptions, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
{
  mListener = std::make_unique<Listener>(
    mOptions.mAddress,
    [this](const Request& aRequest, Connection& aConnection) {
      return Serve(aRequest, aConnection);
    });
  mPings = std::thread([this] { SendPings(); });
}

Server::~Server()
{
  mStop = true;
  mPings.join();
}

int
Server::RunsOf(const std::string& aRequestId)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunsById.find(aRequestId);
  return it == mRunsById.end() ? 0 : it->second;
}

std::set<std::string>
Server::Started()
{
  const std::lock_guard lock(mMutex);
  std::set<std::string> started;
  for (const auto& [id, runs] : mRunsById) {
    started.insert(id);
  }
  return started;
}

bool
Server::Serve(const Request& aRequest, Connection& aConnection)
{
  const auto until = Clock::now() + std::chrono::seconds(30);
  if (aRequest.mTarget == "/health") {
    return aConnection.Write(
      ToText(200, { { "Instance-Id", mOptions.mId } }, "well"), until);
  }
  const auto id = HeaderOf(aRequest.mHeaders, "Request-Id");
  const auto expected = HeaderOf(aRequest.mHeaders, "Expected-Instance");
  Headers headers{ { "Request-Id", id } };
  if (!expected.empty() && expected != mOptions.mId) {
    headers.emplace_back("Instance-Id", mOptions.mId);
    return aConnection.Write(ToText(421, headers, ""), until);
  }
  bool fails = false;
  bool loses = false;
  {
    const std::lock_guard lock(mMutex);
    if (mWorking >= mOptions.mSlots + kQueue) {
      headers.emplace_back("Not-Executed", "1");
      return aConnection.Write(ToText(503, headers, ""), until);
    }
    ++mWorking;
    ++mRunsById[id];
    const int run = ++mRuns;
    fails = mFailEvery > 0 && run % mFailEvery == 0;
    loses = mLoseEvery > 0 && run % mLoseEvery == 0;
  }
  mRecord.Line("run " + id + " at " + mOptions.mId);
  std::this_thread::sleep_for(mOptions.mWork);
  {
    const std::lock_guard lock(mMutex);
    --mWorking;
    headers.emplace_back("Server-Load",
                         std::to_string(mWorking) + ",0," +
                           std::to_string(mOptions.mSlots));
  }
  if (loses) {
    mRecord.Line("answer lost " + id + " at " + mOptions.mId);
    return false;
  }
  headers.emplace_back("Response-Signature", "mac." + id);
  return aConnection.Write(
    ToText(fails ? 500 : 200, headers, mOptions.mId + "|" + id), until);
}

void
Server::SendPings()
{
  for (int sequence = 1; !mStop; ++sequence) {
    const auto reply = Send(
      mOptions.mControl,
      { .mMethod = "POST",
        .mTarget =
          "/porttiller/rpc?call=instances.heartbeat&of=" + mOptions.mId,
        .mHeaders = { { "Content-Type", "application/json" } },
        .mBody = R"({"Service":)" + Quoted(mOptions.mService) +
                 R"(,"Address":)" + Quoted(mOptions.mAddress) + R"(,"Zone":)" +
                 Quoted(mOptions.mZone) + R"(,"Version":"v1","Slots":)" +
                 std::to_string(mOptions.mSlots) +
                 R"(,"State":"ready","ColdRemainingMs":0,"CallSeq":)" +
                 std::to_string(sequence) + "}" },
      kPingTimeout);
    mAcked = mAcked || reply.mStatus == 200;
    const auto next = Clock::now() + (mAcked ? kPingInterval : Millis(300));
    while (!mStop && Clock::now() < next) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

Machine::Machine(MachineOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

Machine::~Machine()
{
  Kill();
}

std::string
Machine::At(int aPort) const
{
  return mOptions.mIp + ":" + std::to_string(aPort);
}

// The template with the fields of this machine, as the platform fills it in.
std::string
Machine::Settings(bool aFirst) const
{
  std::string seeds;
  for (const auto& seed : mOptions.mSeeds) {
    seeds += (seeds.empty() ? "" : ",") + Quoted(seed);
  }
  const std::map<std::string, std::string> fields{
    { "Node|json", Quoted(mOptions.mNode) },
    { "Zone|json", Quoted(mOptions.mZone) },
    { "Service|json", Quoted(mOptions.mService) },
    { "Ip", mOptions.mIp },
    { "ListenAddrs.Outbound", At(kOutboundPort) },
    { "ListenAddrs.Inbound", At(kInboundPort) },
    { "ListenAddrs.Ready", At(kReadyPort) },
    { "ListenAddrs.Control", At(kControlPort) },
    { "EphemeralPorts.0", std::to_string(kPeerPort) },
    { "Seeds|json", "[" + seeds + "]" },
    { "Bootstrap|json", aFirst ? "true" : "false" },
    { "Platform.Address", mOptions.mStoreAddress },
    { "Bounds.RetryBudgetRatio|json", "0.2" },
    { "Bounds.BudgetSlack|json", "56" },
    { "Bounds.BudgetWindowS|json", "10" },
    { "Bounds.ConfigApplyMs|json", "2000" },
    { "Bounds.GraceS|json", "6" },
    { "Limits.MemoryMb|json", std::to_string(mOptions.mMemoryMb) },
    { "Limits.MaxFds|json", "4100" },
  };
  auto text = ReadFile(kTemplate);
  for (auto open = text.find("{{"); open != std::string::npos;
       open = text.find("{{")) {
    const auto close = text.find("}}", open);
    const auto it = fields.find(text.substr(open + 2, close - open - 2));
    text.replace(
      open, close + 2 - open, it == fields.end() ? "null" : it->second);
  }
  return text;
}

void
Machine::Start(bool aFirst, int aOutput)
{
  const auto settings = mOptions.mFolder + "/" + mOptions.mNode + ".json";
  std::ofstream(settings) << Settings(aFirst);
  const auto log = mOptions.mFolder + "/" + mOptions.mNode + ".log";
  mPid = fork();
  if (mPid == 0) {
    const int output =
      aOutput >= 0
        ? aOutput
        : open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("PORTTILLER_CONFIG", settings.c_str(), 1);
    execl(kProgram, kProgram, "--config-env", "PORTTILLER_CONFIG", nullptr);
    _exit(127);
  }
}

void
Machine::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

bool
Machine::HasEnded()
{
  if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = -1;
  }
  return mPid <= 0;
}

void
Machine::Kill()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = -1;
  }
}

bool
Machine::IsReady() const
{
  return Send(At(kReadyPort), { .mTarget = "/porttiller/ready" }, Millis(1000))
           .mStatus == 200;
}

double
Machine::StatusMb(const std::string& aName) const
{
  std::stringstream lines(
    ReadFile("/proc/" + std::to_string(mPid) + "/status"));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(aName)) {
      constexpr double kKbPerMb = 1024.0;
      return static_cast<double>(NumberOf(line.substr(aName.size()))) /
             kKbPerMb;
    }
  }
  return 0.0;
}

Deployment::Deployment(const std::string& aFolder, int aMachines, Millis aWork)
  : mRecord(RecordFile())
  , mFolder(aFolder)
{
  const auto network = FreeNetwork(aMachines);
  mStore.Put("config", "main", Configuration(++mVersion, {}));
  std::vector<std::string> seeds;
  for (int i = 1; i <= aMachines; ++i) {
    seeds.push_back(network + std::to_string(i) + ":" +
                    std::to_string(kControlPort));
  }
  for (int i = 1; i <= aMachines; ++i) {
    const auto ip = network + std::to_string(i);
    const auto storeAddress = ip + ":" + std::to_string(kStorePort);
    mStore.Open(storeAddress);
    mMachines.push_back(std::make_unique<Machine>(
      MachineOptions{ .mNode = "sidecar-a-" + std::to_string(i),
                      .mZone = "hall-a",
                      .mService = kService,
                      .mIp = ip,
                      .mStoreAddress = storeAddress,
                      .mFolder = aFolder,
                      .mSeeds = seeds }));
    mServers.push_back(std::make_unique<Server>(
      ServerOptions{ .mId = "i-000" + std::to_string(i),
                     .mService = kService,
                     .mZone = "hall-a",
                     .mAddress = ip + ":" + std::to_string(kAppPort),
                     .mControl = ip + ":" + std::to_string(kControlPort),
                     .mWork = aWork },
      mRecord));
  }
}

// As an operator writes it; the limits are those that the pages show.
std::string
Deployment::Configuration(int aVersion, const std::vector<std::string>& aMore)
{
  const auto route = [](const std::string& aPrefix, const std::string& aKind) {
    return R"({"Host":"a.example","Prefix":")" + aPrefix + R"(","Kind":")" +
           aKind +
           R"(","TimeoutMs":2500,"TargetLatencyMs":800,"Priority":1,)"
           R"("Service":"ledger","MaxAttempts":2})";
  };
  std::string routes = R"("r-once":)" + route("/once/", "unsafe") +
                       R"(,"r-safe":)" + route("/safe/", "safe");
  for (std::size_t i = 0; i < aMore.size(); ++i) {
    routes +=
      R"(,"r-more-)" + std::to_string(i) + "\":" + route(aMore[i], "safe");
  }
  return R"({"Version":)" + std::to_string(aVersion) + R"(,"Routes":{)" +
         routes +
         R"(},"Services":{"ledger":{"HealthPath":"/health",)"
         R"("MaxConnections":330,"Protocol":"h1","Tls":false}},)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

void
Deployment::Configure(const std::vector<std::string>& aMorePrefixes)
{
  mStore.Put("config", "main", Configuration(++mVersion, aMorePrefixes));
}

bool
Deployment::Start(int aOutput)
{
  for (const auto& machine : mMachines) {
    machine->Start(true, aOutput);
  }
  return WaitUntil(std::chrono::seconds(20), [this] { return IsServing(); });
}

// Every machine is ready and has passed requests on to each server.
bool
Deployment::IsServing()
{
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    if (!mMachines[i]->IsReady() || !mServers[i]->IsRegistered()) {
      return false;
    }
  }
  return true;
}

void
Deployment::Stop()
{
  for (const auto& machine : mMachines) {
    machine->Kill();
  }
}

int
Deployment::RunsOf(const std::string& aId)
{
  int runs = 0;
  for (const auto& server : mServers) {
    runs += server->RunsOf(aId);
  }
  return runs;
}

Request
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aId,
            Millis aDeadline)
{
  return { .mMethod = aMethod,
           .mTarget = aTarget,
           .mHeaders = {
             { "Host", "a.example" },
             { "Request-Id", aId },
             { "Deadline-Ms", std::to_string(aDeadline.count()) } } };
}

std::string
FreeNetwork(int aMachines)
{
  constexpr int kTries = 50;
  constexpr int kAdminPort = 9464; // of the template
  for (int i = 0; i < kTries; ++i) {
    const auto draw = (getpid() * 7 + i * 31) % 60'000;
    auto network = "127." + std::to_string(1 + draw / 250) + "." +
                   std::to_string(1 + draw % 250) + ".";
    try {
      for (int machine = 1; machine <= aMachines; ++machine) {
        for (const int port : { kOutboundPort,
                                kInboundPort,
                                kReadyPort,
                                kControlPort,
                                kPeerPort,
                                kAppPort,
                                kStorePort,
                                kAdminPort }) {
          const Listener probe(
            network + std::to_string(machine) + ":" + std::to_string(port),
            [](const Request&, Connection&) { return false; });
        }
      }
      return network;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  throw std::runtime_error("no free ports");
}

void
RunCase(int aMachines,
        Millis aWork,
        const std::function<int(Deployment&)>& aCase)
{
  std::string folder = "/tmp/review-XXXXXX";
  int code = kCannotRun;
  try {
    if (mkdtemp(folder.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    Deployment world(folder, aMachines, aWork);
    code = aCase(world);
    world.Stop();
    std::filesystem::remove_all(folder);
    std::cout << (code == kHeld     ? "held"
                  : code == kBroken ? "broken"
                                    : "could not run")
              << std::endl;
    // Threads of connections may still use the deployment.
    std::_Exit(code);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
  }
  std::_Exit(code);
}

bool
WaitUntil(Millis aTime, const std::function<bool()>& aCondition)
{
  const auto until = Clock::now() + aTime;
  while (!aCondition()) {
    if (Clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

bool
WithTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
