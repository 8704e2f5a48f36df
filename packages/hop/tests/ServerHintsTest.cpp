#include "porttiller/hop/RecentHints.h"

#include "Mutate.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const ServiceName kService("ledger");
const TimePoint kNow{ Millis(50'000) };

ServerIncarnation
Server(const std::string& aId, std::optional<std::int64_t> aStart = {})
{
  return ServerIncarnation(BackendServerName(aId), aStart);
}

} // namespace

TEST_CASE("Hints come back as they were sent")
{
  const ServerHints hints = {
    { .mService = kService, .mServer = Server("i-1"), .mAge = Millis(12) },
    { .mService = kService, .mServer = Server("i-2", 99), .mAge = Millis(0) }
  };
  CHECK(DecodeHints(EncodeHints(hints)) == hints);
  CHECK(EncodeHints({}).empty());
  CHECK(DecodeHints("").empty());
  // A name that would not stay one field is not sent.
  CHECK(EncodeHints(
          { { .mService = ServiceName("a b"), .mServer = Server("i-1") } })
          .empty());
}

TEST_CASE("Mutated hints are read or left out")
{
  const auto text = EncodeHints(
    { { .mService = kService, .mServer = Server("i-1", 5), .mAge = Millis(1) },
      { .mService = kService, .mServer = Server("i-2"), .mAge = Millis(2) } });
  const bool ok = rc::check([&] {
    for (const auto& hint : DecodeHints(Mutated(text))) {
      RC_ASSERT(IsToken(hint.mService.Value()));
      RC_ASSERT(IsToken(hint.mServer.Id().Value()));
      RC_ASSERT(hint.mAge >= Millis(0));
    }
  });
  CHECK(ok);
}

TEST_CASE("RecentHints passes on the freshest, of each server one")
{
  RecentHints recent;
  for (int i = 0; i < 100; ++i) {
    recent.Note(
      kService, Server("i-" + std::to_string(i % 50)), kNow - Millis(100 - i));
  }
  const auto hints = recent.Fresh(kNow);
  REQUIRE(hints.size() == kMaxHints);
  CHECK(hints[0].mServer == Server("i-49"));
  CHECK(hints[0].mAge == Millis(1));
  CHECK(hints[7].mServer == Server("i-42"));
  recent.Forget(Server("i-49"));
  CHECK(recent.Fresh(kNow)[0].mServer == Server("i-48"));
  CHECK(recent.Fresh(kNow + RecentHints::kLast).empty());
}
