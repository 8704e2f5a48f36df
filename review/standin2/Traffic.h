// Ordinary traffic on kept connections and the platform's part: it starts
// processes again that ended, and ends those that go over their memory.
#pragma once

#include "World.h"

namespace review {

struct TrafficCounts
{
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mAnswered{ 0 };
  // A server ran it, and the kept connection ended without an answer.
  std::atomic<int> mLost{ 0 };
  std::atomic<int> mEnds{ 0 }; // of the process, not caused by the case
};

class Traffic
{
public:
  // Starts to send unsafe requests to each machine on aClients connections.
  Traffic(Deployment& aWorld, int aClients);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Ends the traffic, writes the counts to the record and returns whether one
  // of the rules LOST and Fault was broken; kCannotRun if nothing was answered.
  int End();

private:
  void Supervise(std::size_t aMachine);
  void UseKeptConnections(std::size_t aMachine, int aClient);
  void UseOneConnection(std::size_t aMachine, int aClient, int& aNext);
  void Stop();

  Deployment& mWorld;
  std::atomic<bool> mStop{ false };
  std::vector<TrafficCounts> mCounts; // by machine
  std::vector<std::thread> mThreads;
};

} // namespace review
