// One soak: a fleet of real processes, callers, and faults from a seed.
#pragma once

#include "soak/Checks.h"
#include "soak/Schedule.h"

#include <deque>
#include <set>

namespace porttiller::soak {

struct SoakOptions
{
  ScheduleOptions mSchedule;
  int mPortBase = 27000;
  int mClientsPerBox = 3;
};

struct SoakResult
{
  std::size_t mRequests = 0;
  std::size_t mServed = 0;
  std::vector<std::string> mBroken; // a line for each promise that was
};

// Runs in the calling thread; heartbeats and callers have threads of their own.
class Soak
{
public:
  explicit Soak(SoakOptions aOptions);
  ~Soak();

  SoakResult Run();
  // What the boxes logged, as far as their files are still there.
  std::string LogOf(int aBox) const { return mFleet.LogOf(aBox); }

private:
  void Begin(const Fault& aFault);
  void End(const Fault& aFault);
  void BeginOnBox(const Fault& aFault);
  void EndOnBox(const Fault& aFault);
  void NoteEnd(const Fault& aFault);
  void SetServer(int aBox, const standin::MeshServerFaults& aFaults);
  void RestartServer(int aBox);
  void WriteForeignObjects(int aBox);
  void BeginReplacement(int aBox);
  void EndReplacement(int aBox);
  void Heal();
  void Recover(SoakResult& aResult);

  const SoakOptions mOptions;
  fleet::MeshFleet mFleet;
  Evidence mEvidence;
  std::set<int> mDown; // killed or stopped, not yet started again
  std::set<int> mPaused;
  // A server is replaced while it tells about itself: one lock for each box.
  std::deque<std::mutex> mServerMutexes;
  std::deque<bool> mDraining; // of the box's server; under its lock
  std::atomic<bool> mStop{ false };
  std::unique_ptr<Clients> mClients;
  std::vector<std::thread> mBeats; // one for each box
};

} // namespace porttiller::soak
