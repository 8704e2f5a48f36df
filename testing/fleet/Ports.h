// Ports of fleets, so that several test programs can run side by side.
#pragma once

namespace porttiller::fleet {

// The port to use for aPort: a port of the range of 1,600 that begins at the
// environment variable PORTTILLER_TEST_PORTS, or aPort itself if that is not
// set.
int
TestPort(int aPort);

// The same for the first port of a fleet. Throws std::logic_error if the fleet
// would extend into the range of another test program.
int
FleetPort(int aPort);

} // namespace porttiller::fleet
