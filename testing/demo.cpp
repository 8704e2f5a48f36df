// Demo: starts three boxes in three availability zones as processes, sends
// requests through each of them and compares every answer byte by byte.
#include "fleet/Fleet.h"

#include <iostream>

namespace {

using namespace porttiller;

constexpr int kRequests = 300;
constexpr int kPortBase = 24000;

// Returns whether aReply is the complete answer of any server to this request.
bool
IsCorrect(const fleet::Reply& aReply,
          const std::string& aId,
          const std::string& aBody,
          int aServers)
{
  if (aReply.mStatus != 200 || aReply.mOutcome != "run") {
    return false;
  }
  for (int i = 0; i < aServers; ++i) {
    if (aReply.mBody ==
        standin::EchoOf(fleet::Fleet::ServerName(i), aId, aBody)) {
      return true;
    }
  }
  return false;
}

} // namespace

int
main()
{
  const fleet::FleetOptions options{ .mBoxes = 3,
                                     .mServersPerBox = 2,
                                     .mPortBase = kPortBase,
                                     .mOwnProcesses = true };
  int correct = 0;
  {
    fleet::Fleet boxes(options);
    std::cout << "started a platform stand-in, 6 server stand-ins, 3 boxes\n";
    for (int i = 0; i < kRequests; ++i) {
      const auto id = "demo-" + std::to_string(i);
      const auto body = "body of " + id + std::string(i, '.');
      const auto reply = boxes.Send(i % options.mBoxes,
                                    i % 2 == 0 ? "POST" : "GET",
                                    "/purchases/" + id,
                                    i % 2 == 0 ? body : "",
                                    { { "X-Request-Id", id } });
      const int servers = options.mBoxes * options.mServersPerBox;
      correct += IsCorrect(reply, id, i % 2 == 0 ? body : "", servers) ? 1 : 0;
    }
  }
  std::cout << "served " << kRequests << " requests, " << correct
            << " correct\n";
  return correct == kRequests ? 0 : 1;
}
