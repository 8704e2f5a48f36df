// The records of all boxes that this node knows. A merge keeps the join of each
// record's versions, so duplicated and reordered messages are harmless.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/DirectoryExchange.h"

#include <cstdint>
#include <map>
#include <vector>

namespace porttiller {

// Owned by the directory controller, under its lock.
class Directory
{
public:
  Directory() = default;
  // mByHash points into mRecords.
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // Returns the record that is held from now on, or null if aRecord adds
  // nothing. Valid until the next merge.
  const BoxRecord* Merge(const BoxRecord& aRecord);
  const BoxRecord* Find(const BoxName& aBox) const;
  // The records to route by. The platform reassigns the addresses of removed
  // boxes, so of several records with one home address only the one with the
  // newest incarnation is returned.
  std::vector<BoxRecord> InUse() const;
  std::vector<RecordVersion> Versions() const;
  // The same on all nodes that hold the same versions.
  std::uint64_t Digest() const { return mDigest; }
  std::size_t Size() const { return mRecords.size(); }

  // Records that are newer here than in aTheirs.
  std::vector<BoxRecord> NewerThan(
    const std::vector<RecordVersion>& aTheirs) const;
  // True when aTheirs has something newer than this directory.
  bool LacksAnyOf(const std::vector<RecordVersion>& aTheirs) const;

  // The first message of an exchange.
  DirectoryExchange BeginExchange() const;
  // The answer to a message of an exchange, whose records need not be merged
  // yet. Ignores ranges that are not valid.
  DirectoryExchange Answer(const DirectoryExchange& aTheirs) const;

private:
  using HashIndex = std::multimap<std::uint64_t, const BoxRecord*>;

  std::uint64_t DigestOf(const HashRange& aRange) const;
  // Adds the range to an exchange: its versions if they are few, else the
  // digests of its parts.
  void Describe(const HashRange& aRange, DirectoryExchange& aExchange) const;
  void AnswerNode(const DigestNode& aTheirs, DirectoryExchange& aAnswer) const;
  void AnswerListed(const DirectoryExchange& aTheirs,
                    DirectoryExchange& aAnswer) const;

  std::map<BoxName, BoxRecord> mRecords;
  HashIndex mByHash; // the values of mRecords, by the hashes of their keys
  std::uint64_t mDigest = 0;
};

} // namespace porttiller
