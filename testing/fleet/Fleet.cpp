#include "fleet/Fleet.h"

#include "fleet/Ports.h"
#include "porttiller/config/JsonText.h"
#include "porttiller/hop/HopHeaders.h"
#include "porttiller/store/ObjectClient.h"

#include <Poco/JSON/Array.h>
#include <Poco/TemporaryFile.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace porttiller::fleet {

namespace {

constexpr int kPortsPerBox = 4;
constexpr int kFirstServerPortOffset = 500;
constexpr int kPlatformPortOffset = 900;
constexpr int kCallerConnections = 256;
constexpr Millis kStartWait{ 10'000 };
constexpr Millis kAdminWait{ 2000 };
constexpr Millis kPollInterval{ 10 };

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

Reply
SendTo(HttpPool& aPool, const HttpRequestData& aRequest, Millis aTimeout)
{
  const auto deadline = Now() + aTimeout;
  auto exchange = aPool.Begin(aRequest, deadline);
  if (!exchange || !(*exchange)->WaitReadable(deadline)) {
    return {};
  }
  auto answer = (*exchange)->ReadAnswer(deadline);
  if (!answer) {
    return {};
  }
  return { .mStatus = answer->mStatus,
           .mOutcome = HeaderValue(answer->mHeaders, hop::kOutcome),
           .mHeaders = answer->mHeaders,
           .mBody = answer->mBody.ToString() };
}

bool
WaitUntil(Millis aTimeout, const std::function<bool()>& aCondition)
{
  const auto until = Now() + aTimeout;
  while (!aCondition()) {
    if (Now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Fleet::Fleet(FleetOptions aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(Poco::TemporaryFile::tempName())
{
  mOptions.mPortBase = FleetPort(mOptions.mPortBase);
  std::filesystem::create_directories(mDirectory);
  StartStandIns();
  if (mOptions.mLinks) {
    StartLinks();
  }
  PutConfiguration();
  mBoxes.resize(static_cast<std::size_t>(mOptions.mBoxes));
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    mCallers.push_back(std::make_unique<HttpPool>(HttpPoolOptions{
      .mAddress = CallerAddress(box), .mMaxConnections = kCallerConnections }));
    StartBox(box);
  }
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    if (!WaitInForce(box, kStartWait)) {
      throw std::runtime_error("a box did not apply the configuration in time");
    }
  }
}

Fleet::~Fleet()
{
  mBoxes.clear();
  mHomeLinks.clear();
  mControlLinks.clear();
  mPlatformLink.reset();
  mStandIns.clear();
  mServers.clear();
  mPlatform.reset();
  std::error_code ignored;
  std::filesystem::remove_all(mDirectory, ignored);
}

std::string
Fleet::Address(int aBox, int aPort) const
{
  return Loopback(mOptions.mPortBase + aBox * kPortsPerBox + aPort);
}

std::string
Fleet::CallerAddress(int aBox) const
{
  return Address(aBox, 0);
}

std::string
Fleet::HomeAddress(int aBox) const
{
  return Address(aBox, 1);
}

std::string
Fleet::ControlAddress(int aBox) const
{
  return Address(aBox, 2);
}

std::string
Fleet::AdminAddress(int aBox) const
{
  return Address(aBox, 3);
}

std::string
Fleet::PlatformAddress() const
{
  return Loopback(mOptions.mPortBase + kPlatformPortOffset);
}

std::string
Fleet::ServerAddress(int aIndex) const
{
  return Loopback(mOptions.mPortBase + kFirstServerPortOffset + aIndex);
}

int
Fleet::Servers() const
{
  return (mOptions.mBoxes - mOptions.mFirstServerBox) * mOptions.mServersPerBox;
}

int
Fleet::BoxOfServer(int aIndex) const
{
  return mOptions.mFirstServerBox + aIndex / mOptions.mServersPerBox;
}

std::string
Fleet::BoxName(int aBox)
{
  return "box-" + std::to_string(aBox);
}

std::string
Fleet::ServerName(int aIndex)
{
  return "server-" + std::to_string(aIndex);
}

void
Fleet::RestartServer(int aIndex, Millis aDownTime)
{
  auto& server = mServers.at(static_cast<std::size_t>(aIndex));
  server.reset();
  std::this_thread::sleep_for(aDownTime);
  server = std::make_unique<standin::ServerStandIn>(ServerName(aIndex),
                                                    ServerAddress(aIndex));
}

void
Fleet::StartStandIns()
{
  const int servers = Servers();
  if (!mOptions.mOwnProcesses) {
    mPlatform = std::make_unique<standin::PlatformStandIn>(PlatformAddress());
    for (int i = 0; i < servers; ++i) {
      mServers.push_back(std::make_unique<standin::ServerStandIn>(
        ServerName(i), ServerAddress(i)));
    }
    return;
  }
  const auto log = mDirectory + "/standins.log";
  const auto start = [&](const char* aProgram,
                         const std::vector<std::string>& aArguments) {
    mStandIns.push_back(
      std::make_unique<standin::ChildProcess>(aProgram, aArguments, log));
    if (!standin::WaitForListener(aArguments.back(), kStartWait)) {
      throw std::runtime_error("a stand-in did not start");
    }
  };
  start(PORTTILLER_PLATFORM_STANDIN, { PlatformAddress() });
  for (int i = 0; i < servers; ++i) {
    start(PORTTILLER_SERVER_STANDIN, { ServerName(i), ServerAddress(i) });
  }
}

void
Fleet::StartLinks()
{
  mPlatformLink = std::make_unique<standin::LinkStandIn>(PlatformAddress());
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    mHomeLinks.push_back(
      std::make_unique<standin::LinkStandIn>(HomeAddress(box)));
    mControlLinks.push_back(
      std::make_unique<standin::LinkStandIn>(ControlAddress(box)));
  }
}

void
Fleet::SilencePlatformLinks()
{
  mPlatformLink->Silence();
}

void
Fleet::SilenceBoxLinks()
{
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    mHomeLinks.at(static_cast<std::size_t>(box))->Silence();
    mControlLinks.at(static_cast<std::size_t>(box))->Silence();
  }
}

void
Fleet::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
{
  if (mPlatform) {
    mPlatform->Put({ aKind, aName }, aSpec);
    return;
  }
  ObjectClient client({ .mAddress = PlatformAddress() });
  if (!client.Create({ aKind, aName }, aSpec)) {
    throw std::runtime_error("the platform stand-in rejected the object " +
                             aName);
  }
}

void
Fleet::PutBox(int aBox,
              const std::string& aHomeAddress,
              const std::string& aControlAddress,
              const std::string& aState)
{
  Put("Box",
      BoxName(aBox),
      R"({"zone":")" + ZoneName(aBox) + R"(","home_address":")" + aHomeAddress +
        R"(","control_address":")" + aControlAddress + R"(","state":")" +
        aState + "\"}");
}

void
Fleet::PutConfiguration()
{
  Put("Service",
      "ledger",
      R"({"floor_slots":)" + std::to_string(mOptions.mFloorSlots) +
        R"(,"detection":")" + mOptions.mDetection +
        R"(","default_deadline_ms":)" +
        std::to_string(mOptions.mDefaultDeadline.count()) + "}");
  Put("Route", "all", R"({"path_prefix":"/","service":"ledger"})");
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    const auto index = static_cast<std::size_t>(box);
    PutBox(box,
           mOptions.mLinks ? mHomeLinks.at(index)->Address() : HomeAddress(box),
           mOptions.mLinks ? mControlLinks.at(index)->Address()
                           : ControlAddress(box));
  }
  for (int i = 0; i < Servers(); ++i) {
    Put("BackendServer",
        ServerName(i),
        R"({"service":"ledger","box":")" + BoxName(BoxOfServer(i)) +
          R"(","address":")" + ServerAddress(i) + R"(","slots":)" +
          std::to_string(mOptions.mSlots) + "}");
  }
}

std::string
Fleet::SettingsFile(int aBox) const
{
  auto file = mDirectory + "/" + BoxName(aBox) + ".json";
  std::string seeds;
  for (int box = 0; box < mOptions.mBoxes; ++box) {
    if (box != aBox) {
      seeds += (seeds.empty() ? "\"" : ",\"") + ControlAddress(box) + "\"";
    }
  }
  std::ofstream(file) << R"({ "box": ")" << BoxName(aBox) << R"(", "zone": ")"
                      << ZoneName(aBox) << R"(", "callers": { "address": ")"
                      << CallerAddress(aBox)
                      << R"(" }, "peers": { "home_address": ")"
                      << HomeAddress(aBox) << R"(", "control_address": ")"
                      << ControlAddress(aBox) << R"(", "seeds": [)" << seeds
                      << R"(] }, "admin_address": ")" << AdminAddress(aBox)
                      << R"(", "platform_address": ")"
                      << (mPlatformLink ? mPlatformLink->Address()
                                        : PlatformAddress())
                      << "\"" << mOptions.mExtraSettings << " }\n";
  return file;
}

void
Fleet::StartBox(int aBox)
{
  auto& box = mBoxes.at(aBox);
  box.reset();
  box = std::make_unique<standin::ChildProcess>(
    PORTTILLER_DAEMON,
    std::vector<std::string>{ "--config", SettingsFile(aBox) },
    mDirectory + "/" + BoxName(aBox) + ".log");
}

void
Fleet::SignalBox(int aBox, int aSignal)
{
  mBoxes.at(aBox)->Signal(aSignal);
}

int
Fleet::WaitForBoxExit(int aBox, Millis aTimeout)
{
  return mBoxes.at(aBox)->WaitForExit(aTimeout);
}

std::string
Fleet::Admin(int aBox, const std::string& aPath) const
{
  HttpPool pool({ .mAddress = AdminAddress(aBox) });
  return SendTo(pool, { .mMethod = "GET", .mTarget = aPath }, kAdminWait).mBody;
}

std::string
Fleet::State(int aBox) const
{
  return Admin(aBox, "/state");
}

std::string
Fleet::Metrics(int aBox) const
{
  return Admin(aBox, "/metrics");
}

std::string
Fleet::ZoneName(int aBox) const
{
  return "zone-" + std::to_string(aBox % mOptions.mZones);
}

std::string
Fleet::Phase(int aServer) const
{
  const auto state = ParseJsonObject(State(BoxOfServer(aServer)));
  if (!state) {
    return {};
  }
  const auto servers = (*state)->getArray("servers");
  for (unsigned i = 0; i < servers->size(); ++i) {
    const auto server = servers->getObject(i);
    if (server->getValue<std::string>("name") == ServerName(aServer)) {
      return server->getValue<std::string>("phase");
    }
  }
  return {};
}

std::uint64_t
Fleet::Revision(int aBox) const
{
  const auto state = ParseJsonObject(State(aBox));
  return state ? (*state)->optValue<std::uint64_t>("revision", 0) : 0;
}

double
Fleet::Metric(int aBox, const std::string& aName) const
{
  const auto text = Metrics(aBox);
  const auto line = text.find("\n" + aName + " ");
  if (line == std::string::npos) {
    return 0.0;
  }
  return std::stod(text.substr(line + aName.size() + 2));
}

bool
Fleet::WaitInForce(int aBox, Millis aTimeout)
{
  ObjectClient client({ .mAddress = PlatformAddress() });
  const auto list = client.ListConfiguration();
  if (!list) {
    return false;
  }
  // The store's own revision may be higher: writes of statuses and ledgers
  // advance it, too.
  std::uint64_t newest = 0;
  for (const auto& object : list->mObjects) {
    newest = std::max(newest, object.mVersion);
  }
  return WaitUntil(aTimeout, [&] { return Revision(aBox) >= newest; });
}

int
Fleet::RunsOf(const std::string& aId) const
{
  int runs = 0;
  for (const auto& server : mServers) {
    runs += server->RunsOf(aId);
  }
  return runs;
}

bool
Fleet::WaitUntilUsed(int aEntry, int aServer, Millis aTimeout)
{
  const auto own = ServerName(aServer) + "|";
  return WaitUntil(aTimeout, [&] {
    return Send(aEntry, "GET", "/warm-up", "").mBody.starts_with(own);
  });
}

Reply
Fleet::Send(int aBox,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            const HttpHeaders& aHeaders,
            Millis aTimeout)
{
  return SendTo(*mCallers.at(aBox),
                { .mMethod = aMethod,
                  .mTarget = aTarget,
                  .mHeaders = aHeaders,
                  .mBody = aBody },
                aTimeout);
}

} // namespace porttiller::fleet
