#include "porttiller/http/Cancellation.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <thread>

using namespace porttiller;

TEST_CASE(
  "A listener runs once, and at once if registered after the cancellation")
{
  const auto cancellation = Cancellation::Make();
  int calls = 0;
  const auto watch = OnCancel(cancellation, [&] { ++calls; });
  CHECK_FALSE(cancellation->IsCancelled());
  cancellation->Cancel();
  cancellation->Cancel();
  CHECK(calls == 1);
  const auto late = OnCancel(cancellation, [&] { ++calls; });
  CHECK(calls == 2);
}

TEST_CASE("A listener does not run after its watch is destroyed")
{
  const auto cancellation = Cancellation::Make();
  int calls = 0;
  {
    const auto watch = OnCancel(cancellation, [&] { ++calls; });
  }
  cancellation->Cancel();
  CHECK(calls == 0);
  static_cast<void>(OnCancel(nullptr, [&] { ++calls; }));
  CHECK(calls == 0);
}

TEST_CASE("Destroying a watch waits for its running listener")
{
  constexpr int kRounds = 300;
  for (int i = 0; i < kRounds; ++i) {
    const auto cancellation = Cancellation::Make();
    auto target = std::make_unique<int>(0); // freed after its watch
    std::optional<Cancellation::Watch> watch(
      OnCancel(cancellation, [&] { ++*target; }));
    std::thread canceller([&] { cancellation->Cancel(); });
    watch.reset();
    target.reset();
    canceller.join();
  }
}
