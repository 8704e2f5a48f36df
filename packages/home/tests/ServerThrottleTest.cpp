#include "porttiller/home/ServerThrottle.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace porttiller;

TEST_CASE("Random texts are refused or read as a finite rate that is not "
          "negative")
{
  CHECK(rc::check([](const std::string& aText) {
    const auto rate = ParseRate(aText);
    RC_ASSERT(!rate || (*rate >= 0.0 && *rate < 1e17));
  }));
}
