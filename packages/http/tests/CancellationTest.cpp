#include "porttiller/http/Cancellation.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <thread>

using namespace porttiller;

TEST_CASE("A listener hears of a cancellation once, at once when it is late")
{
  const auto cancellation = Cancellation::Make();
  int heard = 0;
  const auto watch = OnCancel(cancellation, [&] { ++heard; });
  CHECK_FALSE(cancellation->IsCancelled());
  cancellation->Cancel();
  cancellation->Cancel();
  CHECK(heard == 1);
  const auto late = OnCancel(cancellation, [&] { ++heard; });
  CHECK(heard == 2);
}

TEST_CASE("A listener does not run once its watch has ended")
{
  const auto cancellation = Cancellation::Make();
  int heard = 0;
  {
    const auto watch = OnCancel(cancellation, [&] { ++heard; });
  }
  cancellation->Cancel();
  CHECK(heard == 0);
  static_cast<void>(OnCancel(nullptr, [&] { ++heard; }));
  CHECK(heard == 0);
}

TEST_CASE("The end of a watch waits for a listener that runs")
{
  constexpr int kRounds = 300;
  for (int i = 0; i < kRounds; ++i) {
    const auto cancellation = Cancellation::Make();
    auto target = std::make_unique<int>(0); // gone with its watch
    std::optional<Cancellation::Watch> watch(
      OnCancel(cancellation, [&] { ++*target; }));
    std::thread canceller([&] { cancellation->Cancel(); });
    watch.reset();
    target.reset();
    canceller.join();
  }
}
