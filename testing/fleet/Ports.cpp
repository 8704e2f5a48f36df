#include "fleet/Ports.h"

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace porttiller::fleet {

namespace {

// Ports that differ by a multiple of this are moved to the same place in the
// range: test cases that run one after another may share ports.
constexpr int kPlaces = 1000;
// A range has 1,600 ports, and a fleet up to 910.
constexpr int kLastFleetPlace = 690;

} // namespace

int
TestPort(int aPort)
{
  const char* first = std::getenv("PORTTILLER_TEST_PORTS");
  return first == nullptr ? aPort : std::stoi(first) + aPort % kPlaces;
}

int
FleetPort(int aPort)
{
  if (aPort % kPlaces > kLastFleetPlace) {
    throw std::logic_error("a fleet at port " + std::to_string(aPort) +
                           " leaves its range");
  }
  return TestPort(aPort);
}

} // namespace porttiller::fleet
