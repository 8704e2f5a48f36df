// Chooses the backend server for an attempt: the cheapest of three random
// candidates, two of them from the entry's own availability zone. Load and the
// cost of a hop to another zone count.
#pragma once

#include "porttiller/core/Ids.h"
#include "porttiller/core/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace porttiller {

// Whether an entry may use a server, best first.
enum class Eligibility
{
  kOpen,        // usable without restriction
  kAvoid,       // its home asks to prefer other servers
  kLimited,     // it names a limit, and the next request to it is not due
  kDemoted,     // its home accepts only last-resort requests
  kUnreachable, // its box does not answer: each attempt costs a timeout
  kClosed,      // its home rejects requests: ejected or leaving
  kExcluded     // the request was sent to it before, or it says it is leaving
};

// What an entry knows about one server.
struct Candidate
{
  Eligibility mEligibility = Eligibility::kOpen;
  bool mSameZone = false;
  int mInFlight = 0;          // requests of this entry
  double mReportedLoad = 0.0; // 0 idle, 1 all slots busy, above 1 queued
  int mSlots = 1;
  // It is demoted; a request that can fail over should test it.
  bool mTrialDue = false;
};

struct BalancerOptions
{
  // Added to the load of a server in another availability zone.
  double mZonePenalty = 0.5;
  // The same for requests with large responses, whose bytes between zones cost
  // as much as those of many small ones. Such a request leaves its zone only
  // when the servers there are full and have as many requests waiting.
  double mLargeResponseZonePenalty = 1.5;
};

// A server whose trial is due, preferably of the same zone; null when there is
// none. aRandom is a uniform 64-bit draw.
std::optional<std::size_t>
ChooseTrial(std::span<const Candidate> aCandidates, std::uint64_t aRandom);

// The index of the chosen candidate; null when none is kOpen or kAvoid. Avoided
// servers are chosen only when none is open. aRandom1 and aRandom2 are uniform
// 64-bit draws.
std::optional<std::size_t>
ChooseServer(std::span<const Candidate> aCandidates,
             const BalancerOptions& aOptions,
             std::uint64_t aRandom1,
             std::uint64_t aRandom2);

} // namespace porttiller
