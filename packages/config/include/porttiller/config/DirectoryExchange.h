// What two boxes send each other to find the records in which their directories
// differ. The records form a tree over the hashes of the boxes' names, in which
// each node has a digest for each of its 16 parts. Only the parts whose digests
// differ are described further, so that the cost depends on the number of
// records that differ and on the logarithm of the fleet. Each message answers
// the last one (Directory::Answer), until one is empty. Source: the hash trees
// of Merkle, "A Digital Signature Based on a Conventional Encryption Function",
// 1987, as used for the repair of replicas by DeCandia et al., "Dynamo:
// Amazon's Highly Available Key-value Store", 2007.
#pragma once

#include "porttiller/config/BoxRecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace porttiller {

// The version of a box's record that a node holds.
struct RecordVersion
{
  BoxName mBox;
  std::uint64_t mRevision = 0;

  friend auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

// The hashes that share the leading mBits bits of mFirst, whose other bits are
// zero.
struct HashRange
{
  std::uint64_t mFirst = 0;
  std::uint32_t mBits = 0;

  std::uint64_t Last() const;
  // One of its kParts equal parts.
  HashRange Part(std::size_t aIndex) const;
  bool IsLeaf() const;
  // False for values that no box sends: a prefix of another length, or bits set
  // behind the prefix.
  bool IsValid() const;

  static constexpr std::size_t kParts = 16;
  static constexpr std::uint32_t kBitsPerLevel = 4;
  static constexpr std::uint32_t kMaxBits = 60;

  friend auto operator<=>(const HashRange&, const HashRange&) = default;
};

// The digests of the records in each part of a range.
struct DigestNode
{
  HashRange mRange;
  std::array<std::uint64_t, HashRange::kParts> mParts{};

  friend auto operator<=>(const DigestNode&, const DigestNode&) = default;
};

struct DirectoryExchange
{
  std::vector<DigestNode> mNodes;
  std::vector<HashRange> mListed;   // all records in them are in mHeld
  std::vector<RecordVersion> mHeld; // versions that the sender holds
  std::vector<BoxName> mWanted;     // boxes whose records the sender lacks
  std::vector<BoxRecord> mRecords;  // that the receiver lacks

  // Whether the receiver has something to answer.
  bool NeedsAnswer() const
  {
    return !mNodes.empty() || !mListed.empty() || !mWanted.empty();
  }

  friend auto operator<=>(const DirectoryExchange&,
                          const DirectoryExchange&) = default;
};

} // namespace porttiller
