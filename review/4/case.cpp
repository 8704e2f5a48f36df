// Clients that pipeline two safe requests and leave before the first is
// answered. The second has more header fields than the daemon takes, and keeps
// within MaxHeaderBytes.
#include "../standin2/Traffic.h"

namespace {

using namespace review;

constexpr int kMachines = 3;
constexpr std::size_t kVisited = 2; // machines that these clients use
constexpr int kRounds = 4;
constexpr int kFields = 120; // about 1.7 KB; MaxHeaderBytes is 16,384
constexpr int kClients = 8;  // of the traffic, for each machine
constexpr Millis kWork{ 200 };
constexpr Millis kPatience{ 80 };
constexpr Millis kRoundTime{ 6000 };
constexpr Millis kDeadline{ 4000 };

std::string
TextOf(const std::string& aId, int aFields)
{
  std::string text = "GET /safe/read HTTP/1.1\r\nHost: a.example\r\n"
                     "Request-Id: " +
                     aId + "\r\nDeadline-Ms: 4000\r\n";
  for (int i = 0; i < aFields; ++i) {
    text += "X-Field-" + std::to_string(i) + ": 1\r\n";
  }
  return text + "\r\n";
}

// One client: leaves after kPatience, or waits for both answers.
void
Pipeline(Deployment& aWorld, std::size_t aMachine, int aRound)
{
  const auto id = "g" + std::to_string(aMachine) + "-" + std::to_string(aRound);
  const auto until = Clock::now() + kDeadline;
  auto connection =
    Connection::To(aWorld.MachineAt(aMachine).Outbound(), kDeadline);
  connection.Write(TextOf(id + "a", 0) + TextOf(id + "b", kFields), until);
  if (WithTrouble()) {
    std::this_thread::sleep_for(kPatience);
    aWorld.Log().Line("client of " + id + " leaves");
    return; // closes the connection
  }
  const auto first = connection.ReadResponse(until);
  const auto second = connection.ReadResponse(until);
  aWorld.Log().Line("client of " + id + ": status " +
                    std::to_string(first.mStatus) + " and " +
                    std::to_string(second.mStatus));
}

int
Run(Deployment& aWorld)
{
  if (!aWorld.Start()) {
    return kCannotRun;
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Traffic traffic(aWorld, kClients);
  for (int round = 0; round < kRounds; ++round) {
    std::this_thread::sleep_for(kRoundTime);
    for (std::size_t i = 0; i < kVisited; ++i) {
      Pipeline(aWorld, i, round);
    }
  }
  std::this_thread::sleep_for(kRoundTime);
  return traffic.End();
}

} // namespace

int
main()
{
  review::RunCase(kMachines, kWork, Run);
}
