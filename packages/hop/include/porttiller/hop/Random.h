// Random numbers of the daemon. The policy library takes them as arguments, so
// that its tests are deterministic.
#pragma once

#include <cstdint>
#include <random>

namespace porttiller {

// Returns a uniformly distributed 64-bit number. Each thread has its own
// generator.
inline std::uint64_t
Random()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return generator();
}

} // namespace porttiller
