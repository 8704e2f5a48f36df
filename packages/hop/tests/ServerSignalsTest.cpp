#include "porttiller/hop/ServerSignals.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

const EdgeHeaders kNames{ .mServerLimit = "Limit", .mServerLeaving = "Leaves" };

} // namespace

TEST_CASE("A limit is a decimal number")
{
  CHECK(ParseRate("1") == 1.0);
  CHECK(ParseRate("1.4") == 1.4);
  CHECK(ParseRate("0") == 0.0);
  for (const auto* text : { "",
                            ".",
                            "-1",
                            "+1",
                            "nan",
                            "inf",
                            "1e400",
                            "1,4",
                            "1.4.1",
                            "1 2",
                            "0x10",
                            "11111111111111111" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseRate(text));
  }
}

TEST_CASE("Signals of an answer")
{
  CHECK(ReadServerSignals({}, kNames) == ServerSignals{});
  CHECK(ReadServerSignals({ { "limit", "1.4" } }, kNames) ==
        ServerSignals{ .mLimit = 1.4 });
  CHECK(ReadServerSignals({ { "Limit", "-3" } }, kNames) ==
        ServerSignals{ .mUnreadableLimit = true });
  CHECK(ReadServerSignals({ { "Limit", "1" }, { "Limit", "9" } }, kNames) ==
        ServerSignals{ .mUnreadableLimit = true });
  CHECK(ReadServerSignals({ { "Leaves", "1" } }, kNames) ==
        ServerSignals{ .mLeaving = true });
  CHECK(ReadServerSignals({ { "Leaves", "0" } }, kNames) == ServerSignals{});
  CHECK(ReadServerSignals({ { "", "1" } }, {}) == ServerSignals{});
}
