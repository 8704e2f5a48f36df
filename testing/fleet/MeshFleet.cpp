#include "fleet/MeshFleet.h"

#include "fleet/Ports.h"
#include "porttiller/config/JsonText.h"

#include <Poco/JSON/Array.h>
#include <Poco/TemporaryFile.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace porttiller::fleet {

namespace {

constexpr std::int64_t kFirstStartMs = 1'700'000'000'000;
constexpr int kPortsPerBox = 8;
constexpr int kServerPortOffset = 6;  // from the first port of the box
constexpr int kStorePortOffset = 900; // from the first port of the fleet
constexpr Millis kStartWait{ 15'000 };
constexpr Millis kAnswerWait{ 2000 };
constexpr Millis kCrashPoll{ 20 };

Reply
SendOnNewConnection(const std::string& aAddress,
                    const HttpRequestData& aRequest,
                    Millis aTimeout)
{
  HttpPool pool({ .mAddress = aAddress });
  return SendTo(pool, aRequest, aTimeout);
}

MeshFleetOptions
WithFleetPort(MeshFleetOptions aOptions)
{
  aOptions.mPortBase = FleetPort(aOptions.mPortBase);
  return aOptions;
}

std::string
RouteText(const std::string& aPrefix, const std::string& aKind)
{
  return R"({"Host":"a.example","Prefix":")" + aPrefix + R"(","Kind":")" +
         aKind +
         R"(","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":0,)"
         R"("Service":"ledger","MaxAttempts":2})";
}

} // namespace

MeshFleet::MeshFleet(MeshFleetOptions aOptions)
  : mOptions(WithFleetPort(std::move(aOptions)))
  , mDirectory(Poco::TemporaryFile::tempName())
{
  std::filesystem::create_directories(mDirectory);
  const auto store =
    "127.0.0.1:" + std::to_string(mOptions.mPortBase + kStorePortOffset);
  mStore = std::make_unique<standin::ObjectStoreStandIn>(store);
  Configure();
  mBoxes.resize(static_cast<std::size_t>(mOptions.mBoxes));
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    if (mOptions.mLinks) {
      mStoreLinks.push_back(std::make_unique<standin::LinkStandIn>(store));
      mServerLinks.push_back(std::make_unique<standin::LinkStandIn>(
        Address(box, kServerPortOffset)));
    }
    mServers.push_back(MakeServer(box));
    StartBox(box, true);
  }
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    if (!WaitUntil(kStartWait, [&] { return Server(box).SendHeartbeat(); })) {
      throw std::runtime_error(
        "a box did not acknowledge the heartbeat of its server");
    }
  }
  if (!WaitServers(mOptions.mBoxes)) {
    throw std::runtime_error("the boxes did not learn of all servers in time");
  }
  if (!mOptions.mCrashMarker.empty() && mOptions.mRestartCrashed) {
    mCrashThread = std::thread([this] { RestartCrashedServers(); });
  }
}

std::unique_ptr<standin::MeshServerStandIn>
MeshFleet::MakeServer(int aBox)
{
  auto id = "i-" + std::to_string(aBox);
  if (mReplacements > 0) {
    id += "." + std::to_string(mReplacements);
  }
  auto server =
    std::make_unique<standin::MeshServerStandIn>(standin::MeshServerOptions{
      .mId = id,
      .mService = "ledger",
      .mAddress = Address(aBox, kServerPortOffset),
      .mAdvertised = mOptions.mLinks ? ServerLink(aBox).Address() : "",
      .mRegistration = Address(aBox, 4),
      .mCrashMarker = mOptions.mCrashMarker,
      .mOnCrashArrival =
        [this](const std::string& aTarget) {
          const std::lock_guard lock(mCrashMutex);
          mCrashRecords[aTarget].mArrivals.push_back(Now());
        },
      .mOnCrash =
        [this, aBox](const std::string& aTarget) {
          {
            const std::lock_guard lock(mCrashMutex);
            mCrashRecords[aTarget].mCrashes.push_back(Now());
          }
          CrashServer(aBox);
        },
      .mStartMs = mOptions.mStartTimes
                    ? std::optional(kFirstStartMs + ++mStarts)
                    : std::nullopt });
  server->Set({ .mWork = mOptions.mWork });
  return server;
}

void
MeshFleet::ReplaceServer(int aBox)
{
  RetireServer(aBox);
  ++mReplacements;
  mServers.at(static_cast<std::size_t>(aBox)) = MakeServer(aBox);
}

void
MeshFleet::RestartServer(int aBox)
{
  auto options = Server(aBox).Options();
  RetireServer(aBox);
  options.mStartMs = kFirstStartMs + ++mStarts;
  mServers.at(static_cast<std::size_t>(aBox)) =
    std::make_unique<standin::MeshServerStandIn>(options);
}

void
MeshFleet::RetireServer(int aBox)
{
  auto& server = mServers.at(static_cast<std::size_t>(aBox));
  server->Stop();
  mRetired.push_back(std::move(server));
}

void
MeshFleet::CrashServer(int aBox)
{
  ServerLink(aBox).Refuse(true);
  const std::lock_guard lock(mCrashMutex);
  if (!mRestarting.contains(aBox)) {
    mDown.try_emplace(aBox, Now());
  }
  mCrashChanged.notify_all();
}

std::size_t
MeshFleet::CrashArrivals()
{
  const std::lock_guard lock(mCrashMutex);
  std::size_t arrivals = 0;
  for (const auto& [target, record] : mCrashRecords) {
    arrivals += record.mArrivals.size();
  }
  return arrivals;
}

std::map<std::string, CrashRecord>
MeshFleet::EndCrashes()
{
  {
    const std::lock_guard lock(mCrashMutex);
    mEndCrashes = true;
    mCrashChanged.notify_all();
  }
  if (mCrashThread.joinable()) {
    mCrashThread.join();
  }
  const std::lock_guard lock(mCrashMutex);
  return mCrashRecords;
}

bool
MeshFleet::IsDown(int aBox)
{
  const std::lock_guard lock(mCrashMutex);
  return mDown.contains(aBox) || mRestarting.contains(aBox);
}

std::vector<int>
MeshFleet::TakeRestartable()
{
  std::vector<int> boxes;
  const std::lock_guard lock(mCrashMutex);
  for (const auto& [box, at] : mDown) {
    if (Now() >= at + mOptions.mCrashDownTime) {
      boxes.push_back(box);
    }
  }
  for (const int box : boxes) {
    mDown.erase(box);
    mRestarting.insert(box);
  }
  return boxes;
}

void
MeshFleet::StartCrashed(int aBox)
{
  ReplaceServer(aBox);
  ServerLink(aBox).Refuse(false);
  const std::lock_guard lock(mCrashMutex);
  mRestarting.erase(aBox);
}

void
MeshFleet::RestartCrashedServers()
{
  std::unique_lock lock(mCrashMutex);
  while (!mEndCrashes) {
    lock.unlock();
    for (const int box : TakeRestartable()) {
      StartCrashed(box);
      Server(box).SendHeartbeat();
    }
    lock.lock();
    mCrashChanged.wait_for(lock, kCrashPoll);
  }
}

MeshFleet::~MeshFleet()
{
  EndCrashes();
  mBoxes.clear();
  mServers.clear();
  mRetired.clear();
  mServerLinks.clear();
  mStoreLinks.clear();
  mStore.reset();
  std::error_code ignored;
  std::filesystem::remove_all(mDirectory, ignored);
}

std::string
MeshFleet::Address(int aBox, int aPort) const
{
  return "127.0.0.1:" +
         std::to_string(mOptions.mPortBase + aBox * kPortsPerBox + aPort);
}

void
MeshFleet::Configure(const std::string& aExtraPrefix)
{
  std::string routes = R"("safe":)" + RouteText("/safe/", "safe") +
                       R"(,"once":)" + RouteText("/once/", "unsafe");
  if (!aExtraPrefix.empty()) {
    routes += R"(,"extra":)" + RouteText(aExtraPrefix, "safe");
  }
  mStore->Put({ "config", "main" },
              R"({"Version":)" + std::to_string(++mVersion) + R"(,"Routes":{)" +
                routes +
                R"(},"Services":{"ledger":{"HealthPath":"/health"}},)"
                R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)" +
                std::to_string(mOptions.mMaxBodyBytes) +
                R"(,)"
                R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000})" +
                (mTenants.empty() ? "" : R"(,"Tenants":)" + mTenants) + "}");
}

void
MeshFleet::SetWorkspaces(const std::string& aTenants)
{
  mTenants = aTenants;
  Configure();
}

std::string
MeshFleet::SettingsFile(int aBox, bool aFirstStart) const
{
  const auto name = "box-" + std::to_string(aBox);
  const auto platform =
    mOptions.mLinks
      ? mStoreLinks.at(static_cast<std::size_t>(aBox))->Address()
      : "127.0.0.1:" + std::to_string(mOptions.mPortBase + kStorePortOffset);
  auto file = mDirectory + "/" + name + ".json";
  std::ofstream(file) << R"({ "dialect": "mesh", "failing_servers": "break",
    "box": ")" << name << R"(", "zone": "zone-)"
                      << aBox % 2 << R"(", "service": "ledger",
    "callers": { "address": ")"
                      << Address(aBox, 0) << R"(" },
    "peers": { "home_address": ")"
                      << Address(aBox, 1) << R"(", "control_address": ")"
                      << Address(aBox, 2) << R"(", "seeds": [ ")"
                      << Address((aBox + 1) % 2, 2) << R"(" ] },
    "admin_address": ")"
                      << Address(aBox, 3) << R"(",
    "registration": { "address": ")"
                      << Address(aBox, 4) << R"(", "first_start": )"
                      << (aFirstStart ? "true" : "false") << R"( },
    "readiness": { "address": ")"
                      << Address(aBox, 5) << R"(" },
    "resources": { "memory_mb": )"
                      << mOptions.mMemoryMb << R"( },
    "retries": { "share": 0.2, "burst": 60 },
    "timing": { "drain_notice_ms": )"
                      << mOptions.mDrainNotice.count() << R"(, "drain_ms": )"
                      << mOptions.mDrain.count() << R"( },
    "platform_address": ")"
                      << platform << "\" }\n";
  return file;
}

void
MeshFleet::StartBox(int aBox, bool aFirstStart)
{
  mBoxes.at(aBox) = std::make_unique<standin::ChildProcess>(
    PORTTILLER_DAEMON,
    std::vector<std::string>{ "--config", SettingsFile(aBox, aFirstStart) },
    mDirectory + "/box-" + std::to_string(aBox) + ".log");
}

void
MeshFleet::SignalBox(int aBox, int aSignal)
{
  mBoxes.at(aBox)->Signal(aSignal);
}

int
MeshFleet::PidOf(int aBox) const
{
  return mBoxes.at(static_cast<std::size_t>(aBox))->Id();
}

int
MeshFleet::WaitForBoxExit(int aBox, Millis aTimeout)
{
  const int code = mBoxes.at(aBox)->WaitForExit(aTimeout);
  mBoxes.at(aBox).reset();
  return code;
}

bool
MeshFleet::Ready(int aBox)
{
  return SendOnNewConnection(Address(aBox, 5),
                             { .mMethod = "GET", .mTarget = "/ready" },
                             kAnswerWait)
           .mStatus == 200;
}

std::string
MeshFleet::State(int aBox) const
{
  return SendOnNewConnection(Address(aBox, 3),
                             { .mMethod = "GET", .mTarget = "/state" },
                             kAnswerWait)
    .mBody;
}

bool
MeshFleet::ClearRequest(int aBox, const std::string& aDigest)
{
  return SendOnNewConnection(
           Address(aBox, 3),
           { .mMethod = "POST", .mTarget = "/requests/" + aDigest + "/clear" },
           kAnswerWait)
           .mStatus == 200;
}

std::string
MeshFleet::MetricsOf(int aBox) const
{
  return SendOnNewConnection(Address(aBox, 3),
                             { .mMethod = "GET", .mTarget = "/metrics" },
                             kAnswerWait)
    .mBody;
}

bool
MeshFleet::WaitServers(int aCount)
{
  const auto count = [&](int aBox) {
    const auto state = ParseJsonObject(State(aBox));
    return state && (*state)->optValue<int>("servers_in_use", -1) == aCount;
  };
  return WaitUntil(kStartWait, [&] {
    for (std::size_t box = 0; box < mBoxes.size(); ++box) {
      if (mBoxes[box] && !count(static_cast<int>(box))) {
        return false;
      }
    }
    return true;
  });
}

std::string
HeadOf(const MeshRequest& aRequest)
{
  return aRequest.mMethod + " " + aRequest.mTarget +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + aRequest.mId +
         "\r\nDeadline-Ms: " + std::to_string(aRequest.mTimeout.count()) +
         "\r\n";
}

Reply
MeshFleet::Send(int aBox,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aId,
                const std::string& aBody,
                Millis aTimeout)
{
  return Send({ .mBox = aBox,
                .mMethod = aMethod,
                .mTarget = aTarget,
                .mId = aId,
                .mBody = aBody,
                .mTimeout = aTimeout });
}

Reply
MeshFleet::Send(const MeshRequest& aRequest)
{
  HttpRequestData http{
    .mMethod = aRequest.mMethod,
    .mTarget = aRequest.mTarget,
    .mHeaders = { { "Host", "a.example" },
                  { "Request-Id", aRequest.mId },
                  { "Deadline-Ms", std::to_string(aRequest.mTimeout.count()) },
                  { "Caller-Service", "forged" },
                  { "Tenant", "forged" } },
    .mBody = aRequest.mBody
  };
  if (!aRequest.mKey.empty()) {
    http.mHeaders.push_back({ "Credential", aRequest.mKey });
  }
  const auto timeout = aRequest.mTimeout + kAnswerWait;
  return aRequest.mPool != nullptr
           ? SendTo(*aRequest.mPool, http, timeout)
           : SendOnNewConnection(CallerAddress(aRequest.mBox), http, timeout);
}

std::string
MeshFleet::WorkspaceOf(const std::string& aId) const
{
  for (const auto& server : mServers) {
    if (server->RunsOf(aId) > 0) {
      return server->WorkspaceOf(aId);
    }
  }
  return "";
}

std::string
MeshFleet::HeadersSeenByServers() const
{
  std::string seen;
  for (const auto& server : mServers) {
    seen += server->SeenHeaders();
  }
  return seen;
}

int
MeshFleet::RunsOf(const std::string& aId) const
{
  int runs = 0;
  for (const auto& server : mServers) {
    runs += server->RunsOf(aId);
  }
  for (const auto& server : mRetired) {
    runs += server->RunsOf(aId);
  }
  return runs;
}

std::string
MeshFleet::LogOf(int aBox) const
{
  std::ostringstream text;
  text << std::ifstream(mDirectory + "/box-" + std::to_string(aBox) + ".log")
            .rdbuf();
  return text.str();
}

} // namespace porttiller::fleet
