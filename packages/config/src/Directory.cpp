#include "porttiller/config/Directory.h"

#include <iterator>
#include <utility>
#include <xxhash.h>

namespace porttiller {

namespace {

// Largest range whose versions are listed. A node takes as many bytes as a few
// versions.
constexpr std::size_t kMaxListedRecords = 6;

std::uint64_t
HashOf(const BoxName& aBox)
{
  const auto& name = aBox.Value();
  return XXH64(name.data(), name.size(), 0);
}

// The digest of a directory is the XOR of these, so it does not depend on
// order.
std::uint64_t
DigestOfRecord(const BoxRecord& aRecord)
{
  const auto& name = aRecord.mBox.mName.Value();
  return XXH64(name.data(), name.size(), aRecord.mRevision);
}

} // namespace

const BoxRecord*
Directory::Merge(const BoxRecord& aRecord)
{
  const auto& name = aRecord.mBox.mName;
  const auto [held, added] = mRecords.try_emplace(name, aRecord);
  auto& record = held->second;
  if (added) {
    mByHash.emplace(HashOf(name), &record);
  } else {
    auto joined = Join(record, aRecord);
    if (joined == record) {
      return nullptr;
    }
    mDigest ^= DigestOfRecord(record);
    record = std::move(joined);
  }
  mDigest ^= DigestOfRecord(record);
  return &record;
}

const BoxRecord*
Directory::Find(const BoxName& aBox) const
{
  const auto it = mRecords.find(aBox);
  return it == mRecords.end() ? nullptr : &it->second;
}

std::vector<BoxRecord>
Directory::InUse() const
{
  std::map<std::string, const BoxRecord*> owners; // by home address
  for (const auto& [name, record] : mRecords) {
    auto& owner = owners[record.mBox.mHomeAddress];
    if (owner == nullptr || owner->mIncarnation < record.mIncarnation) {
      owner = &record;
    }
  }
  std::vector<BoxRecord> records;
  records.reserve(owners.size());
  for (const auto& [name, record] : mRecords) {
    if (owners[record.mBox.mHomeAddress] == &record) {
      records.push_back(record);
    }
  }
  return records;
}

std::vector<RecordVersion>
Directory::Versions() const
{
  std::vector<RecordVersion> versions;
  versions.reserve(mRecords.size());
  for (const auto& [name, record] : mRecords) {
    versions.push_back({ .mBox = name, .mRevision = record.mRevision });
  }
  return versions;
}

std::vector<BoxRecord>
Directory::NewerThan(const std::vector<RecordVersion>& aTheirs) const
{
  std::map<BoxName, std::uint64_t> theirs;
  for (const auto& version : aTheirs) {
    theirs[version.mBox] = version.mRevision;
  }
  std::vector<BoxRecord> newer;
  for (const auto& [name, record] : mRecords) {
    const auto it = theirs.find(name);
    if (it == theirs.end() || it->second < record.mRevision) {
      newer.push_back(record);
    }
  }
  return newer;
}

bool
Directory::LacksAnyOf(const std::vector<RecordVersion>& aTheirs) const
{
  for (const auto& version : aTheirs) {
    const auto* held = Find(version.mBox);
    const auto known = held == nullptr ? 0 : held->mRevision;
    if (known < version.mRevision) {
      return true;
    }
  }
  return false;
}

std::uint64_t
Directory::DigestOf(const HashRange& aRange) const
{
  std::uint64_t digest = 0;
  const auto end = mByHash.upper_bound(aRange.Last());
  for (auto it = mByHash.lower_bound(aRange.mFirst); it != end; ++it) {
    digest ^= DigestOfRecord(*it->second);
  }
  return digest;
}

void
Directory::Describe(const HashRange& aRange, DirectoryExchange& aExchange) const
{
  const auto begin = mByHash.lower_bound(aRange.mFirst);
  const auto end = mByHash.upper_bound(aRange.Last());
  const auto count = static_cast<std::size_t>(std::distance(begin, end));
  if (count > kMaxListedRecords && !aRange.IsLeaf()) {
    DigestNode node{ .mRange = aRange };
    for (std::size_t i = 0; i < node.mParts.size(); ++i) {
      node.mParts.at(i) = DigestOf(aRange.Part(i));
    }
    aExchange.mNodes.push_back(node);
    return;
  }
  aExchange.mListed.push_back(aRange);
  for (auto it = begin; it != end; ++it) {
    const auto& record = *it->second;
    aExchange.mHeld.push_back(
      { .mBox = record.mBox.mName, .mRevision = record.mRevision });
  }
}

DirectoryExchange
Directory::BeginExchange() const
{
  DirectoryExchange exchange;
  Describe({}, exchange);
  return exchange;
}

DirectoryExchange
Directory::Answer(const DirectoryExchange& aTheirs) const
{
  DirectoryExchange answer;
  for (const auto& node : aTheirs.mNodes) {
    if (node.mRange.IsValid() && !node.mRange.IsLeaf()) {
      AnswerNode(node, answer);
    }
  }
  AnswerListed(aTheirs, answer);
  for (const auto& box : aTheirs.mWanted) {
    if (const auto* record = Find(box)) {
      answer.mRecords.push_back(*record);
    }
  }
  return answer;
}

void
Directory::AnswerNode(const DigestNode& aTheirs,
                      DirectoryExchange& aAnswer) const
{
  for (std::size_t i = 0; i < aTheirs.mParts.size(); ++i) {
    const auto part = aTheirs.mRange.Part(i);
    if (DigestOf(part) != aTheirs.mParts.at(i)) {
      Describe(part, aAnswer);
    }
  }
}

void
Directory::AnswerListed(const DirectoryExchange& aTheirs,
                        DirectoryExchange& aAnswer) const
{
  std::map<BoxName, std::uint64_t> theirs;
  for (const auto& version : aTheirs.mHeld) {
    theirs[version.mBox] = version.mRevision;
    const auto* own = Find(version.mBox);
    if (own == nullptr || own->mRevision < version.mRevision) {
      aAnswer.mWanted.push_back(version.mBox);
    }
  }
  for (const auto& range : aTheirs.mListed) {
    if (!range.IsValid()) {
      continue;
    }
    const auto end = mByHash.upper_bound(range.Last());
    for (auto it = mByHash.lower_bound(range.mFirst); it != end; ++it) {
      const auto& record = *it->second;
      const auto held = theirs.find(record.mBox.mName);
      if (held == theirs.end() || held->second < record.mRevision) {
        aAnswer.mRecords.push_back(record);
      }
    }
  }
}

} // namespace porttiller
