#include "porttiller/config/MemoryPlan.h"

#include <algorithm>

namespace porttiller {

namespace {

constexpr double kBytesPerMb = 1 << 20;
// If resources.memory_mb is not set.
constexpr double kDefaultMemoryMb = 256.0;
// Code, stacks, connections, and what the box knows of its fleet: at least
// this, and a share of a large memory.
constexpr double kProcessMb = 48.0;
constexpr double kProcessShare = 0.125;
// Of a process with little memory, the share that is left for bodies.
constexpr double kMinBodyShare = 0.25;
// For answers: one of the largest size and small ones beside it, at entry and
// home each, or a share if that is more.
constexpr double kMinAnswersMb = 2 * 17.0;
constexpr double kAnswerShare = 0.2;
constexpr double kMaxAnswerShare = 0.4;

std::size_t
HalfOf(double aMb)
{
  return static_cast<std::size_t>(aMb * kBytesPerMb / 2);
}

} // namespace

MemoryPlan
PlanMemory(const ResourceSettings& aResources)
{
  const double memory =
    aResources.mMemoryMb > 0.0 ? aResources.mMemoryMb : kDefaultMemoryMb;
  const double process = std::max(kProcessMb, memory * kProcessShare);
  const double bodies =
    std::max(memory - process - aResources.mUnsentMb, memory * kMinBodyShare);
  const double answers = std::min(
    std::max(kMinAnswersMb, bodies * kAnswerShare), bodies * kMaxAnswerShare);
  const double requests = bodies - answers;
  return { .mCallerRequests = HalfOf(requests),
           .mPeerRequests = HalfOf(requests),
           .mHomeAnswers = HalfOf(answers),
           .mServerAnswers = HalfOf(answers) };
}

} // namespace porttiller
