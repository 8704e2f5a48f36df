// Selects the peers to ask for a newer configuration. It handles two loads.
// When changes arrive faster than a request completes, an announcement during a
// request must not be forgotten, and the answer of one peer may be outdated by
// that of another. And peers that do not answer must not keep others from being
// asked.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

struct CatchUpOptions
{
  // Concurrent requests; others make up for a peer that does not answer.
  std::size_t mMaxPending = 3;
  // Peers known to be ahead; those with the newest revisions are kept.
  std::size_t mMaxCandidates = 8;
};

// Peers are identified by their addresses. Not thread-safe.
class CatchUp
{
public:
  explicit CatchUp(CatchUpOptions aOptions = {});

  // A peer announced this revision.
  void OnAnnounced(const std::string& aPeer, std::uint64_t aRevision);
  // The request to a peer has ended, with or without an answer; this node then
  // holds aHeldRevision. A peer that is still ahead is asked again, unless this
  // node has made no progress since the peer's last answer.
  void OnEnded(const std::string& aPeer,
               bool aAnswered,
               std::uint64_t aHeldRevision);
  // Returns the peers to ask now, for a node that holds aHeldRevision. Their
  // requests are pending until OnEnded.
  std::vector<std::string> Next(std::uint64_t aHeldRevision);

  // The newest revision that a peer is known to hold.
  std::uint64_t Newest() const;

private:
  struct Candidate
  {
    std::uint64_t mRevision = 0;
    // Held by this node after the last answer of the peer.
    std::uint64_t mHeldAfterAnswer = 0;
  };

  const CatchUpOptions mOptions;
  // Peers that were ahead when they announced their revision.
  std::map<std::string, Candidate> mCandidates;
  std::set<std::string> mPending;
};

} // namespace porttiller
