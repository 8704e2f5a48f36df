#include "fleet/Ports.h"

#include <cstdlib>
#include <string>

namespace porttiller::fleet {

namespace {

// Ports that differ by a multiple of this are moved to the same place in the
// range: test cases that run one after another may share ports. The fleets of
// the tests begin at most 600 ports above a multiple, and extend 910 further.
constexpr int kPlaces = 1000;

} // namespace

int
TestPort(int aPort)
{
  const char* first = std::getenv("PORTTILLER_TEST_PORTS");
  return first == nullptr ? aPort : std::stoi(first) + aPort % kPlaces;
}

} // namespace porttiller::fleet
