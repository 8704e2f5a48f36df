#include "Traffic.h"

namespace review {

namespace {

constexpr Millis kThinkTime{ 150 };
constexpr Millis kReconnectWait{ 100 };
constexpr Millis kConnectTime{ 500 };
constexpr Millis kDeadline{ 5000 };
constexpr Millis kRestartDelay{ 300 };
constexpr Millis kWatchInterval{ 2 };
// Of the rules.
constexpr int kMaxLost = 3;
constexpr int kMinEnds = 3;
constexpr std::size_t kMinMachines = 2;

} // namespace

Traffic::Traffic(Deployment& aWorld, int aClients)
  : mWorld(aWorld)
  , mCounts(aWorld.Size())
{
  for (std::size_t machine = 0; machine < mWorld.Size(); ++machine) {
    mThreads.emplace_back([this, machine] { Supervise(machine); });
    for (int client = 0; client < aClients; ++client) {
      mThreads.emplace_back(
        [this, machine, client] { UseKeptConnections(machine, client); });
    }
  }
}

Traffic::~Traffic()
{
  Stop();
}

void
Traffic::Stop()
{
  mStop = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void
Traffic::Supervise(std::size_t aMachine)
{
  auto& machine = mWorld.MachineAt(aMachine);
  while (!mStop) {
    std::this_thread::sleep_for(kWatchInterval);
    const double peak = machine.PeakMb();
    const bool tooLarge = peak > machine.Options().mMemoryMb;
    if (tooLarge) {
      machine.Kill();
    } else if (!machine.HasEnded()) {
      continue;
    }
    ++mCounts[aMachine].mEnds;
    mWorld.Log().Line(machine.Options().mNode +
                      (tooLarge ? " had " + std::to_string(peak) +
                                    " MB and was ended by the platform"
                                : std::string(" ended by itself")));
    std::this_thread::sleep_for(kRestartDelay);
    machine.Start(false);
  }
}

void
Traffic::UseKeptConnections(std::size_t aMachine, int aClient)
{
  int next = 0;
  while (!mStop) {
    UseOneConnection(aMachine, aClient, next);
    std::this_thread::sleep_for(kReconnectWait);
  }
}

void
Traffic::UseOneConnection(std::size_t aMachine, int aClient, int& aNext)
{
  auto& counts = mCounts[aMachine];
  auto connection =
    Connection::To(mWorld.MachineAt(aMachine).Outbound(), kConnectTime);
  bool kept = false;
  while (!mStop && connection.IsOpen()) {
    const auto id = "k" + std::to_string(aMachine) + "-" +
                    std::to_string(aClient) + "-" + std::to_string(aNext++);
    const auto until = Clock::now() + kDeadline;
    if (!connection.WriteRequest(
          MakeRequest("POST", "/once/order", id, kDeadline), until)) {
      return;
    }
    ++counts.mSent;
    const auto answer = connection.ReadResponse(until);
    if (answer.mStatus == 0) {
      const int runs = mWorld.RunsOf(id);
      mWorld.Log().Line("no answer to " + id +
                        ", kept connection: " + (kept ? "yes" : "no") +
                        ", ran " + std::to_string(runs) + " times");
      counts.mLost += kept && runs > 0 && !answer.mTimedOut ? 1 : 0;
      return;
    }
    ++counts.mAnswered;
    kept = true;
    if (HeaderOf(answer.mHeaders, "Connection") == "close") {
      return;
    }
    std::this_thread::sleep_for(kThinkTime);
  }
}

int
Traffic::End()
{
  Stop();
  bool lost = false;
  int answered = 0;
  std::size_t ended = 0;
  for (std::size_t i = 0; i < mCounts.size(); ++i) {
    const auto& counts = mCounts[i];
    mWorld.Log().Line("machine " + std::to_string(i) + ": sent " +
                      std::to_string(counts.mSent) + ", answered " +
                      std::to_string(counts.mAnswered) + ", ran and lost " +
                      std::to_string(counts.mLost) + ", its process ended " +
                      std::to_string(counts.mEnds) + " times");
    answered += counts.mAnswered;
    lost = lost || counts.mLost > kMaxLost;
    ended += counts.mEnds >= kMinEnds ? 1 : 0;
  }
  const bool fault = ended >= kMinMachines;
  mWorld.Log().Line(std::string("LOST ") + (lost ? "broken" : "held") +
                    ", Fault " + (fault ? "broken" : "held"));
  if (answered == 0) {
    return kCannotRun;
  }
  return lost || fault ? kBroken : kHeld;
}

} // namespace review
