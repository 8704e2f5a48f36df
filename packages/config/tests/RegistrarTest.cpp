#include "porttiller/config/Registrar.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

using Start = std::optional<std::int64_t>;

ServerMessage
Says(const std::string& aId,
     std::uint64_t aSequence,
     ServerState aState = ServerState::kReady,
     Start aStart = {})
{
  ServerMessage message;
  message.mServer = { .mIncarnation =
                        ServerIncarnation(BackendServerName(aId), aStart),
                      .mService = ServiceName("s"),
                      .mAddress = "127.0.0.1:1",
                      .mState = aState,
                      .mSequence = aSequence };
  return message;
}

ServerMessage
Leaves(const std::string& aId, Start aStart = {})
{
  ServerMessage message;
  message.mServer.mIncarnation =
    ServerIncarnation(BackendServerName(aId), aStart);
  message.mServer.mState = ServerState::kLeft;
  return message;
}

constexpr auto kReady = ServerState::kReady;
constexpr auto kDraining = ServerState::kDraining;

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

TEST_CASE("What was acknowledged holds after a restart of the box")
{
  Registrar registrar;
  ServerRecord recorded = Says("a", 7, ServerState::kDraining).mServer;
  registrar.Restore(recorded);
  CHECK(registrar.Take(Says("a", 8)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mState == ServerState::kDraining);
  CHECK(registrar.Take(Says("b", 1)) == RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mIncarnation.Id().Value() == "b");
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
  "A late message of an earlier server is ignored, a running server not")
{
  Registrar registrar;
  registrar.Take(Says("old", 5));
  registrar.Take(Says("new", 1));
  CHECK(registrar.Take(Says("old", 6)) == RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mIncarnation.Id().Value() == "new");
  // It goes on: then "new" was the late one.
  registrar.Take(Says("old", 7));
  CHECK(registrar.Take(Says("old", 8)) == RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mIncarnation.Id().Value() == "old");
}

TEST_CASE("A server that leaves before its first heartbeat is never used")
{
  Registrar registrar;
  CHECK(registrar.Take(Leaves("a")) == RegistrarVerdict::kNothingNew);
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

TEST_CASE("A server that starts again under its id is used at once")
{
  Registrar registrar;
  registrar.Take(Says("a", 40, kReady, 1000));
  SUBCASE("while ready") {}
  SUBCASE("while draining")
  {
    registrar.Take(Says("a", 41, kDraining, 1000));
  }
  SUBCASE("after it left")
  {
    CHECK(registrar.Take(Leaves("a", 1000)) == RegistrarVerdict::kLeaving);
  }
  SUBCASE("after another server had its place")
  {
    registrar.Take(Says("b", 1, kReady, 500));
  }
  CHECK(registrar.Take(Says("a", 1, kReady, 2000)) ==
        RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mIncarnation.ToString() == "a@2000");
  CHECK(registrar.Server()->mState == kReady);
  CHECK(registrar.Server()->mSequence == 1);
  // Starts follow each other within a second.
  CHECK(registrar.Take(Says("a", 1, kReady, 2300)) ==
        RegistrarVerdict::kNewServer);
  CHECK(registrar.Take(Says("a", 1, kReady, 2600)) ==
        RegistrarVerdict::kNewServer);
}

TEST_CASE("Messages of an earlier start change nothing")
{
  Registrar registrar;
  registrar.Take(Says("a", 1, kReady, 1000));
  registrar.Take(Says("a", 1, kReady, 2000));
  const auto held = registrar.Server();
  CHECK(registrar.Take(Says("a", 90, kReady, 1000)) ==
        RegistrarVerdict::kNothingNew);
  CHECK(registrar.Take(Says("a", 91, kDraining, 1000)) ==
        RegistrarVerdict::kNothingNew);
  CHECK(registrar.Take(Leaves("a", 1000)) == RegistrarVerdict::kNothingNew);
  registrar.Restore(Says("a", 99, ServerState::kLeft, 1000).mServer);
  CHECK(registrar.Server() == held);
}

TEST_CASE("A recorded later start replaces the one that a restarted box saw")
{
  Registrar registrar;
  registrar.Take(Says("a", 90, kReady, 1000)); // late
  registrar.Restore(Says("a", 2, kDraining, 2000).mServer);
  CHECK(registrar.Server()->mIncarnation.StartMs() == 2000);
  CHECK(registrar.Server()->mState == kDraining);
  CHECK(registrar.Take(Says("a", 1, kReady, 3000)) ==
        RegistrarVerdict::kNewServer);
}

TEST_CASE("A start that leaves before its first heartbeat is not used")
{
  Registrar registrar;
  registrar.Take(Says("a", 1, kReady, 1000));
  CHECK(registrar.Take(Leaves("a", 2000)) == RegistrarVerdict::kLeaving);
  CHECK(registrar.Take(Says("a", 1, kReady, 2000)) ==
        RegistrarVerdict::kNothingNew);
  CHECK(registrar.Server()->mState == ServerState::kLeft);
}

TEST_CASE("Heartbeats without a start time replace no server that reports one")
{
  Registrar registrar;
  registrar.Take(Says("a", 1, kReady, 1000));
  const auto held = registrar.Server();
  CHECK(registrar.Take(Says("a", 9)) == RegistrarVerdict::kForeign);
  CHECK(registrar.Take(Says("a", 9, kDraining)) == RegistrarVerdict::kForeign);
  CHECK(registrar.Take(Says("b", 9)) == RegistrarVerdict::kForeign);
  CHECK(registrar.Server() == held);
  // A server that begins to report it is taken over.
  Registrar updated;
  updated.Take(Says("a", 9, kDraining));
  CHECK(updated.Take(Says("a", 1, kReady, 1000)) ==
        RegistrarVerdict::kNewServer);
}

TEST_CASE("A leave message that names no start holds until the server goes on")
{
  Registrar registrar;
  registrar.Take(Says("a", 5, kReady, 1000));
  CHECK(registrar.Take(Leaves("a")) == RegistrarVerdict::kLeaving);
  for (const std::uint64_t sequence : { 4, 6, 7 }) {
    CHECK(registrar.Take(Says("a", sequence, kReady, 1000)) ==
          RegistrarVerdict::kNothingNew);
  }
  CHECK(registrar.Server()->mState == ServerState::kLeft);
  CHECK(registrar.Take(Says("a", 8, kReady, 1000)) ==
        RegistrarVerdict::kNewServer);
  CHECK(registrar.Server()->mState == kReady);
  // One that names its start holds for good.
  registrar.Take(Leaves("a", 1000));
  for (std::uint64_t sequence = 9; sequence < 20; ++sequence) {
    registrar.Take(Says("a", sequence, kReady, 1000));
  }
  CHECK(registrar.Server()->mState == ServerState::kLeft);
}

TEST_CASE("A leave message that comes before the record is read still holds")
{
  Registrar registrar;
  registrar.Take(Leaves("a", 1000));
  registrar.Restore(Says("a", 7, kReady, 1000).mServer);
  CHECK(registrar.Server()->mState == ServerState::kLeft);
}

TEST_CASE(
  "In whatever order messages of several starts come, the newest stands")
{
  const bool ok = rc::check([] {
    Registrar registrar;
    std::int64_t newest = 0;
    std::map<std::int64_t, ServerState> worst;
    const int messages = Draw(1, 40);
    for (int i = 0; i < messages; ++i) {
      const std::int64_t start = Draw(1, 4);
      const auto state = static_cast<ServerState>(Draw(0, 3));
      const auto sequence = static_cast<std::uint64_t>(Draw(0, 10));
      const auto message = state == ServerState::kLeft
                             ? Leaves("a", start)
                             : Says("a", sequence, state, start);
      if (registrar.Server() && Draw(0, 8) == 0) {
        // The box restarts and reads its record after the message came.
        const auto recorded = *registrar.Server();
        registrar = Registrar();
        registrar.Take(message);
        registrar.Restore(recorded);
      } else {
        registrar.Take(message);
      }
      newest = std::max(newest, start);
      worst[start] = std::max(worst[start], state);
      if (registrar.Server()) {
        RC_ASSERT(registrar.Server()->mIncarnation.StartMs() == newest);
        RC_ASSERT(registrar.Server()->mState == worst[newest]);
      } else {
        RC_ASSERT(worst[newest] == ServerState::kLeft);
      }
    }
  });
  CHECK(ok);
}
