// The records of all boxes that this node knows. A merge keeps the highest
// revision of each record, so duplicated and reordered messages are harmless.
#pragma once

#include "porttiller/config/BoxRecord.h"

#include <cstdint>
#include <map>
#include <vector>

namespace porttiller {

// The version of a box's record that a node holds.
struct RecordVersion
{
  BoxName mBox;
  std::uint64_t mRevision = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

// Owned by the directory controller, under its lock.
class Directory
{
public:
  // Returns true when aRecord is newer than the held one and replaces it.
  bool Merge(const BoxRecord& aRecord);
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

private:
  std::map<BoxName, BoxRecord> mRecords;
  std::uint64_t mDigest = 0;
};

} // namespace porttiller
