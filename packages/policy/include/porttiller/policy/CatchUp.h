// Which peers are asked for a newer configuration. Answers two loads: changes
// that follow each other faster than a question takes, where what is announced
// during a question must not be forgotten and what one peer tells may be
// overtaken by another; and peers that do not answer, which must not keep the
// others from being asked.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace porttiller {

struct CatchUpOptions
{
  // Peers asked at a time; a second one makes up for one that is silent.
  std::size_t mMaxOpen = 3;
  // Peers that are known to be ahead; those furthest ahead are remembered.
  std::size_t mMaxKnown = 8;
};

// A peer is named by its address. Not thread-safe.
class CatchUp
{
public:
  explicit CatchUp(CatchUpOptions aOptions = {});

  // A peer holds this revision.
  void OnHeard(const std::string& aPeer, std::uint64_t aRevision);
  // The question to a peer has ended, with an answer or without; this node then
  // holds aHeld. A peer that is still ahead is asked again, unless nothing has
  // moved here since its last answer.
  void OnEnded(const std::string& aPeer, bool aAnswered, std::uint64_t aHeld);
  // The peers that are to be asked now, for a node that holds aHeld. They count
  // as asked until OnEnded.
  std::vector<std::string> Next(std::uint64_t aHeld);

  // The newest revision that a peer is known to hold.
  std::uint64_t Newest() const;

private:
  struct Known
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mHeldThen = 0; // by this node, after its last answer
  };

  const CatchUpOptions mOptions;
  std::map<std::string, Known> mKnown; // peers that were ahead when heard of
  std::set<std::string> mOpen;
};

} // namespace porttiller
