// The environment of a small deployment as one process: the platform's store,
// backend servers and clients. Reads commands from standard input, answers each
// with one line, and writes what was sent, answered and run to a record file.
#include "standin/MeshServerStandIn.h"
#include "standin/ObjectStoreStandIn.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace porttiller;

constexpr Millis kHeartbeatInterval{ 1500 };
constexpr Millis kClientInterval{ 50 };
constexpr Millis kClientDeadline{ 2500 };
constexpr Millis kAnswerWait{ 2000 };
constexpr Millis kReconnectInterval{ 10 };
constexpr Millis kUploaderInterval{ 500 };
constexpr int kUploadOneIn = 24;

// Lines with the time since the start of the process.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath, std::ios::app)
  {
  }

  Millis Time() const
  {
    return std::chrono::duration_cast<Millis>(Now() - mStart);
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    mFile << Time().count() << " " << aLine << std::endl;
  }

private:
  const TimePoint mStart = Now();
  std::mutex mMutex;
  std::ofstream mFile;
};

// Runs a function at an interval until it is destroyed.
class Repeated
{
public:
  Repeated(Millis aInterval, std::function<void()> aWork)
    : mThread([this, aInterval, work = std::move(aWork)] {
      std::unique_lock lock(mMutex);
      while (!mEnd) {
        lock.unlock();
        work();
        lock.lock();
        mChanged.wait_for(lock, aInterval, [this] { return mEnd; });
      }
    })
  {
  }
  Repeated(const Repeated&) = delete;
  Repeated& operator=(const Repeated&) = delete;

  ~Repeated()
  {
    {
      const std::lock_guard lock(mMutex);
      mEnd = true;
      mChanged.notify_all();
    }
    mThread.join();
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mEnd = false;
  std::thread mThread;
};

// A backend server with its heartbeats.
struct Server
{
  std::unique_ptr<standin::MeshServerStandIn> mStandIn;
  std::unique_ptr<Repeated> mHeartbeats;
};

class Environment
{
public:
  explicit Environment(const std::string& aRecordPath)
    : mRecord(aRecordPath)
  {
  }

  // Returns the answer to one command.
  std::string Run(const std::string& aLine)
  {
    std::istringstream words(aLine);
    std::string verb;
    words >> verb;
    if (verb == "store") {
      return StartStore(words);
    }
    if (verb == "config") {
      return PutConfiguration(words);
    }
    if (verb == "store-down") {
      return SetStoreDown(words);
    }
    if (verb == "store-slow") {
      return SetStoreSlow(words);
    }
    if (verb == "server") {
      return StartServer(words);
    }
    if (verb == "leave") {
      return Leave(words);
    }
    if (verb == "end") {
      return EndServer(words);
    }
    if (verb == "clients") {
      return StartClients(words);
    }
    if (verb == "uploaders") {
      return StartUploaders(words);
    }
    if (verb == "stop-clients") {
      mClients.clear();
      return "ok";
    }
    if (verb == "time") {
      return std::to_string(mRecord.Time().count());
    }
    if (verb == "get") {
      return Get(words);
    }
    if (verb == "note") {
      mRecord.Write(aLine);
      return "ok";
    }
    return "unknown command";
  }

private:
  // store IP:PORT
  std::string StartStore(std::istream& aWords)
  {
    std::string address;
    aWords >> address;
    mStore = std::make_unique<standin::ObjectStoreStandIn>(address);
    mStore->OnPage([this] { std::this_thread::sleep_for(mStoreDelay.load()); });
    return "ok";
  }

  // config JSON: writes config/main as the operator does.
  std::string PutConfiguration(std::istream& aWords)
  {
    std::string json;
    std::getline(aWords, json);
    mStore->Put({ "config", "main" }, json);
    mRecord.Write("operator writes config/main");
    return "ok";
  }

  // store-down 1, store-down 0
  std::string SetStoreDown(std::istream& aWords)
  {
    int down = 0;
    aWords >> down;
    mStore->SetDown(down != 0);
    mRecord.Write(down != 0 ? "store: answers 503" : "store: serves again");
    return "ok";
  }

  // store-slow MS: time that a list takes.
  std::string SetStoreSlow(std::istream& aWords)
  {
    Millis::rep delay = 0;
    aWords >> delay;
    mStoreDelay = Millis(delay);
    mRecord.Write("store: a list takes " + std::to_string(delay) + " ms");
    return "ok";
  }

  // server NAME ID SERVICE ADDRESS REGISTRATION WORK_MS
  std::string StartServer(std::istream& aWords)
  {
    std::string name;
    standin::MeshServerOptions options;
    int work = 0;
    aWords >> name >> options.mId >> options.mService >> options.mAddress >>
      options.mRegistration >> work;
    auto& server = mServers[name];
    server.mStandIn = std::make_unique<standin::MeshServerStandIn>(options);
    auto* standIn = server.mStandIn.get();
    standIn->Set({ .mWork = Millis(work) });
    standIn->SetOnArrival([this, name](const std::string& aId) {
      mRecord.Write("server " + name + ": request " + aId + " arrives");
    });
    server.mHeartbeats =
      std::make_unique<Repeated>(kHeartbeatInterval, [this, standIn, name] {
        const bool acknowledged = standIn->SendHeartbeat();
        mRecord.Write("server " + name + ": ping ready, " +
                      (acknowledged ? "acknowledged" : "not acknowledged"));
      });
    return "ok";
  }

  // leave NAME: the server sends its leave call until it is acknowledged, and
  // no further heartbeat.
  std::string Leave(std::istream& aWords)
  {
    std::string name;
    aWords >> name;
    auto& server = mServers[name];
    server.mHeartbeats.reset();
    bool acknowledged = false;
    constexpr int kTries = 3;
    for (int i = 0; i < kTries && !acknowledged; ++i) {
      acknowledged = server.mStandIn->Leave();
      mRecord.Write("server " + name + ": leave, " +
                    (acknowledged ? "acknowledged" : "not acknowledged"));
    }
    return acknowledged ? std::to_string(mRecord.Time().count()) : "none";
  }

  // end NAME: the server's process ends.
  std::string EndServer(std::istream& aWords)
  {
    std::string name;
    aWords >> name;
    mServers[name].mHeartbeats.reset();
    mServers[name].mStandIn->Stop();
    mRecord.Write("server " + name + ": ends");
    return "ok";
  }

  // clients BOX ADDRESS COUNT: clients of one box, each with a request that is
  // not idempotent at a time.
  std::string StartClients(std::istream& aWords)
  {
    std::string box;
    std::string address;
    int count = 0;
    aWords >> box >> address >> count;
    for (int i = 0; i < count; ++i) {
      const auto client = box + "." + std::to_string(i);
      auto pool =
        std::make_shared<HttpPool>(HttpPoolOptions{ .mAddress = address });
      auto sent = std::make_shared<int>(0);
      mClients.push_back(
        std::make_unique<Repeated>(kClientInterval, [this, client, pool, sent] {
          SendOne(client, *pool, (*sent)++);
        }));
    }
    return "ok";
  }

  // uploaders BOX ADDRESS COUNT BYTES: clients of one box, each with a kept
  // connection. One request in 24 has a body of BYTES, the others a short one.
  // A client whose connection is gone connects again at once.
  std::string StartUploaders(std::istream& aWords)
  {
    std::string box;
    std::string address;
    int count = 0;
    std::size_t bytes = 0;
    aWords >> box >> address >> count >> bytes;
    for (int i = 0; i < count; ++i) {
      const auto client = box + "." + std::to_string(i);
      auto pool =
        std::make_shared<HttpPool>(HttpPoolOptions{ .mAddress = address });
      auto sent = std::make_shared<int>(i);
      mClients.push_back(std::make_unique<Repeated>(
        kReconnectInterval, [this, client, pool, sent, bytes] {
          if (pool->HasOpenIdle()) {
            std::this_thread::sleep_for(kUploaderInterval);
          } else if (pool->Probe() != ListenerState::kAccepts) {
            return;
          }
          const int number = (*sent)++;
          const bool large = number % kUploadOneIn == 0;
          SendOne(client, *pool, number, large ? bytes : 1);
        }));
    }
    return "ok";
  }

  void SendOne(const std::string& aClient,
               HttpPool& aPool,
               int aNumber,
               std::size_t aBytes = 1)
  {
    const auto id = aClient + "." + std::to_string(aNumber);
    const auto deadline = Now() + kClientDeadline + kAnswerWait;
    auto exchange =
      aPool.Begin({ .mMethod = "POST",
                    .mTarget = "/once/x",
                    .mHeaders = { { "Host", "a.example" },
                                  { "Request-Id", id },
                                  { "Deadline-Ms",
                                    std::to_string(kClientDeadline.count()) } },
                    .mBody = std::string(aBytes, 'b') },
                  deadline);
    std::string result = "no connection";
    if (exchange) {
      const auto answer = (*exchange)->ReadAnswer(deadline);
      result =
        answer ? std::to_string(answer->mStatus) : std::string("no answer");
    }
    mRecord.Write("client " + aClient + ": request " + id + " of " +
                  std::to_string(aBytes) + " bytes got " + result);
  }

  // get ADDRESS PATH: prints the status.
  static std::string Get(std::istream& aWords)
  {
    std::string address;
    std::string path;
    aWords >> address >> path;
    HttpPool pool({ .mAddress = address });
    const auto deadline = Now() + kAnswerWait;
    auto exchange = pool.Begin({ .mMethod = "GET", .mTarget = path }, deadline);
    if (!exchange) {
      return "0";
    }
    const auto answer = (*exchange)->ReadAnswer(deadline);
    return answer ? std::to_string(answer->mStatus) : "0";
  }

  Record mRecord;
  std::atomic<Millis> mStoreDelay{ Millis(0) };
  std::unique_ptr<standin::ObjectStoreStandIn> mStore;
  std::map<std::string, Server> mServers;
  std::vector<std::unique_ptr<Repeated>> mClients;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: mesh_standin RECORD\n";
    return 2;
  }
  Environment environment(aArguments[1]);
  std::string line;
  while (std::getline(std::cin, line)) {
    std::cout << environment.Run(line) << std::endl;
  }
  return 0;
}
