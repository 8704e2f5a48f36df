// A small deployment on loopback addresses: the platform's store, machines with
// one daemon each, and one application server beside each daemon. Every machine
// has a loopback address of its own, as the daemons use the same ports.
#pragma once

#include "Http.h"

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sys/types.h>

namespace review {

// Writes lines with the seconds since the start to record.txt.
class Record
{
public:
  explicit Record(const std::string& aFile);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart;
};

// The text of a top-level field of a JSON object, or "".
std::string
RawField(const std::string& aJson, const std::string& aName);

// The platform's store. Each machine has an address of its own, so that the
// store can turn single machines away.
class Store
{
public:
  // Turns every call at this address away with 503 while set.
  void SetBusy(const std::string& aAddress, bool aBusy);
  // Ends connections to all addresses without an answer while set.
  void SetReset(bool aReset) { mReset = aReset; }
  void Open(const std::string& aAddress);
  // As the operator; returns the revision.
  std::uint64_t Put(const std::string& aKind,
                    const std::string& aName,
                    const std::string& aSpec);
  std::string SpecOf(const std::string& aKind, const std::string& aName);

private:
  struct Entry
  {
    std::string mSpec;
    std::uint64_t mRev = 0;
    std::uint64_t mCreatedRev = 0;
  };
  struct Answer
  {
    int mStatus = 200;
    std::string mBody;
  };
  using Key = std::pair<std::string, std::string>;

  bool Serve(const std::string& aAddress,
             const Request& aRequest,
             Connection& aConnection);
  Answer AnswerTo(const Request& aRequest);
  Answer Watch(const std::string& aKind, std::uint64_t aFrom, Millis aWait);
  Answer Write(const Key& aKey, const std::string& aBody, bool aCreate);
  std::uint64_t PutLocked(const Key& aKey, const std::string& aSpec);
  std::string ObjectOf(const Key& aKey) const;

  std::mutex mMutex;
  std::map<Key, Entry> mEntries;
  std::set<std::string> mBusy;
  std::uint64_t mRevision = 100;
  std::atomic<bool> mReset{ false };
  std::vector<std::unique_ptr<Listener>> mListeners;
};

struct ServerOptions
{
  std::string mId;
  std::string mService;
  std::string mZone;
  std::string mAddress; // where it serves
  std::string mControl; // where it sends its pings
  int mSlots = 4;
  Millis mWork{ 20 };
};

// An application server as the pages describe it.
class Server
{
public:
  Server(ServerOptions aOptions, Record& aRecord);
  ~Server();

  // True once a ping was acknowledged.
  bool IsRegistered() const { return mAcked; }
  // Answers every Nth run with a 500 of its own; 0: none.
  void FailEvery(int aRuns) { mFailEvery = aRuns; }
  // Runs every Nth request and closes its connection without the answer; 0:
  // none.
  void LoseAnswerEvery(int aRuns) { mLoseEvery = aRuns; }
  int Runs() const { return mRuns; }
  int RunsOf(const std::string& aRequestId);
  // The id of each request that it began to work on.
  std::set<std::string> Started();
  const ServerOptions& Options() const { return mOptions; }

private:
  bool Serve(const Request& aRequest, Connection& aConnection);
  void SendPings();

  const ServerOptions mOptions;
  Record& mRecord;
  std::mutex mMutex;
  std::map<std::string, int> mRunsById;
  int mWorking = 0;
  std::atomic<int> mRuns{ 0 };
  std::atomic<int> mFailEvery{ 0 };
  std::atomic<int> mLoseEvery{ 0 };
  std::atomic<bool> mAcked{ false };
  std::atomic<bool> mStop{ false };
  std::unique_ptr<Listener> mListener;
  std::thread mPings;
};

struct MachineOptions
{
  std::string mNode;
  std::string mZone;
  std::string mService;
  std::string mIp;
  std::string mStoreAddress;
  std::string mFolder; // for the settings file and the log
  std::vector<std::string> mSeeds;
  int mMemoryMb = 260;
};

// The ports are the same on all machines.
inline constexpr int kOutboundPort = 18147;
inline constexpr int kInboundPort = 18146;
inline constexpr int kReadyPort = 18141;
inline constexpr int kControlPort = 18144;
inline constexpr int kPeerPort = 17380;
inline constexpr int kAppPort = 18145;
inline constexpr int kStorePort = 18142;

// One daemon, started with the command of the deploy file and settings made
// from its template.
class Machine
{
public:
  explicit Machine(MachineOptions aOptions);
  // Kills the process.
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // aOutput: a descriptor that gets its standard output and error; -1: a file.
  void Start(bool aFirst, int aOutput = -1);
  void Signal(int aSignal) const;
  // Reaps it; false if it still runs.
  bool HasEnded();
  void Kill();
  pid_t Pid() const { return mPid; }
  bool IsReady() const;
  std::string Outbound() const { return At(kOutboundPort); }
  std::string Control() const { return At(kControlPort); }
  const MachineOptions& Options() const { return mOptions; }
  // Resident memory and its peak, in MB; 0 if it does not run.
  double ResidentMb() const { return StatusMb("VmRSS:"); }
  double PeakMb() const { return StatusMb("VmHWM:"); }

private:
  std::string At(int aPort) const;
  std::string Settings(bool aFirst) const;
  double StatusMb(const std::string& aName) const;

  const MachineOptions mOptions;
  pid_t mPid = -1;
};

inline constexpr const char* kService = "ledger";

// Machines of one zone with their servers, and the store. The routes "/once/"
// (unsafe) and "/safe/" of host a.example lead to the servers' service.
class Deployment
{
public:
  // aWork: how long servers work on a request.
  Deployment(const std::string& aFolder, int aMachines, Millis aWork);

  // Starts the daemons for the first time; true once all are ready.
  bool Start(int aOutput = -1);
  bool IsServing();
  // Writes the next configuration, with further safe routes.
  void Configure(const std::vector<std::string>& aMorePrefixes);
  int RunsOf(const std::string& aId);
  // Kills all daemons.
  void Stop();

  Record& Log() { return mRecord; }
  Store& TheStore() { return mStore; }
  Machine& MachineAt(std::size_t aIndex) { return *mMachines.at(aIndex); }
  Server& ServerAt(std::size_t aIndex) { return *mServers.at(aIndex); }
  std::size_t Size() const { return mMachines.size(); }

private:
  static std::string Configuration(int aVersion,
                                   const std::vector<std::string>& aMore);

  Record mRecord;
  const std::string mFolder;
  int mVersion = 0;
  Store mStore;
  std::vector<std::unique_ptr<Machine>> mMachines;
  std::vector<std::unique_ptr<Server>> mServers;
};

// A client's request of host a.example.
Request
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aId,
            Millis aDeadline);

// A loopback network of its own, "127.A.B.", whose ports are free.
std::string
FreeNetwork(int aMachines);

// Runs a case in a new deployment and ends the program with its result.
[[noreturn]] void
RunCase(int aMachines,
        Millis aWork,
        const std::function<int(Deployment&)>& aCase);

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// True once aCondition holds; false after aTime.
bool
WaitUntil(Millis aTime, const std::function<bool()>& aCondition);

// "no-trouble" runs have TROUBLE=0 in the environment.
bool
WithTrouble();

} // namespace review
