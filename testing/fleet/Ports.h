// Ports of fleets, so that several test programs can run side by side.
#pragma once

namespace porttiller::fleet {

// The port to use for aPort, which is a fleet's first port or a single one: a
// port of the range of 1,600 that begins at the environment variable
// PORTTILLER_TEST_PORTS, or aPort itself if that is not set.
int
TestPort(int aPort);

} // namespace porttiller::fleet
