// Two uploads at a time, each half as large as the configuration allows, beside
// ordinary requests on kept connections.
#include "../standin2/Traffic.h"

namespace {

using namespace review;

constexpr int kMachines = 3;
constexpr std::size_t kUploaded = 2; // machines that get uploads
constexpr int kRounds = 4;
constexpr int kUploadsAtOnce = 2;
constexpr std::size_t kUploadBytes = 32 << 20; // MaxBodyBytes is 64 MiB
constexpr std::size_t kSmallBytes = 1800;
constexpr int kClients = 8; // on kept connections, for each machine
constexpr Millis kWork{ 200 };
constexpr Millis kRoundTime{ 6000 };
constexpr Millis kDeadline{ 5000 };

void
Upload(Deployment& aWorld, std::size_t aMachine, int aRound, int aNumber)
{
  const auto id = "u" + std::to_string(aMachine) + "-" +
                  std::to_string(aRound) + "-" + std::to_string(aNumber);
  auto request = MakeRequest("POST", "/once/upload", id, kDeadline);
  request.mBody.assign(WithTrouble() ? kUploadBytes : kSmallBytes, 'x');
  const auto answer =
    Send(aWorld.MachineAt(aMachine).Outbound(), request, kDeadline);
  aWorld.Log().Line("upload " + id + " of " +
                    std::to_string(request.mBody.size()) + " bytes: status " +
                    std::to_string(answer.mStatus) + ", ran " +
                    std::to_string(aWorld.RunsOf(id)) + " times");
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
    std::vector<std::thread> uploads;
    for (std::size_t i = 0; i < kUploaded; ++i) {
      for (int number = 0; number < kUploadsAtOnce; ++number) {
        uploads.emplace_back(
          [&aWorld, i, round, number] { Upload(aWorld, i, round, number); });
      }
    }
    for (auto& upload : uploads) {
      upload.join();
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
