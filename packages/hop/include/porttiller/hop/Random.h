// The daemon's random source; the policy library has none of its own.
#pragma once

#include <cstdint>
#include <random>

namespace porttiller {

// A uniform 64-bit draw; each thread has its own generator.
inline std::uint64_t
Random()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return generator();
}

} // namespace porttiller
