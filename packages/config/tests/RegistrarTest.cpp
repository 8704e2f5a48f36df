#include "porttiller/config/Registrar.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

ServerMessage
Says(const std::string& aId,
     std::uint64_t aSequence,
     ServerState aState = ServerState::kReady)
{
  ServerMessage message;
  message.mServer = { .mId = BackendServerName(aId),
                      .mService = ServiceName("s"),
                      .mAddress = "127.0.0.1:1",
                      .mState = aState,
                      .mSequence = aSequence };
  return message;
}

} // namespace

TEST_CASE("A late ready heartbeat does not revive a server that drains")
{
  Registrar registrar;
  CHECK(registrar.Take(Says("a", 1)) == RegistrarVerdict::kNewServer);
  CHECK(registrar.Take(Says("a", 3, ServerState::kDraining)) ==
        RegistrarVerdict::kLeaving);
  CHECK(registrar.Take(Says("a", 2)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Take(Says("a", 4)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mState == ServerState::kDraining);
}

TEST_CASE("What was acknowledged holds in the next life of the box")
{
  Registrar registrar;
  ServerRecord recorded = Says("a", 7, ServerState::kDraining).mServer;
  registrar.Restore(recorded);
  CHECK(registrar.Take(Says("a", 8)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mState == ServerState::kDraining);
  CHECK(registrar.Take(Says("b", 1)) == RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mId == BackendServerName("b"));
}

TEST_CASE("A record that is read after the first heartbeat still binds")
{
  Registrar registrar;
  registrar.Take(Says("a", 9));
  registrar.Restore(Says("a", 7, ServerState::kLeft).mServer);
  CHECK(registrar.Server()->mState == ServerState::kLeft);
  CHECK(registrar.Server()->mSequence == 9);
}

TEST_CASE(
  "A late message of an earlier life is passed over, a living server not")
{
  Registrar registrar;
  registrar.Take(Says("old", 5));
  registrar.Take(Says("new", 1));
  CHECK(registrar.Take(Says("old", 6)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mId == BackendServerName("new"));
  // It goes on: then "new" was the late one.
  registrar.Take(Says("old", 7));
  CHECK(registrar.Take(Says("old", 8)) == RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mId == BackendServerName("old"));
}

TEST_CASE("A server that leaves before its first heartbeat is never used")
{
  Registrar registrar;
  ServerMessage leave;
  leave.mServer.mId = BackendServerName("a");
  leave.mServer.mState = ServerState::kLeft;
  CHECK(registrar.Take(leave) == RegistrarVerdict::kNothingNew);
  for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
    registrar.Take(Says("a", sequence));
  }
  CHECK_FALSE(registrar.Server().has_value());
}

TEST_CASE(
  "In whatever order messages come, no acknowledged state is taken back")
{
  const bool ok = rc::check([] {
    Registrar registrar;
    auto worst = ServerState::kReady;
    const int messages = Draw(1, 30);
    for (int i = 0; i < messages; ++i) {
      const auto state = static_cast<ServerState>(Draw(0, 3));
      const auto sequence = static_cast<std::uint64_t>(Draw(0, 10));
      registrar.Take(Says("a", sequence, state));
      worst = std::max(worst, state);
      RC_ASSERT(registrar.Server()->mState == worst);
    }
  });
  CHECK(ok);
}
