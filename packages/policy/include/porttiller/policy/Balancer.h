// Picks the backend server for an attempt: the best of three choices, two of
// them from the own availability zone, by load and by the cost of the trip.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace porttiller {

// How an entry may use a server, best first.
enum class Standing
{
  kOpen,        // nothing speaks against it
  kAvoid,       // its home asked to be used last
  kDemoted,     // its home turns away all but the last resort
  kUnreachable, // its box does not answer: each try costs a time-out
  kClosed,      // its home refuses: ejected or leaving
  kTried        // this request has been there
};

// What an entry knows of one server when it chooses.
struct Candidate
{
  Standing mStanding = Standing::kOpen;
  bool mSameZone = false;
  int mInFlight = 0;          // of this entry
  double mReportedLoad = 0.0; // 0 idle, 1 all slots busy, above 1 queued
  int mSlots = 1;
  bool mTrialDue = false; // it fails, and a request that may fail is welcome
};

struct BalancerOptions
{
  // Load that a trip to another availability zone is worth.
  double mZonePenalty = 0.5;
};

// A server whose trial is due, of the own zone if there is one; null when there
// is none. aRandom is a uniform 64-bit draw.
std::optional<std::size_t>
ChooseTrial(std::span<const Candidate> aCandidates, std::uint64_t aRandom);

// The index of the choice; null when no candidate is kOpen or kAvoid. Open
// ones go before avoided ones. aRandom1 and aRandom2 are uniform 64-bit draws.
std::optional<std::size_t>
ChooseServer(std::span<const Candidate> aCandidates,
             const BalancerOptions& aOptions,
             std::uint64_t aRandom1,
             std::uint64_t aRandom2);

} // namespace porttiller
