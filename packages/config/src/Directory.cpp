#include "porttiller/config/Directory.h"

#include <xxhash.h>

namespace porttiller {

namespace {

// The digest of a directory is the XOR of these, so it does not depend on
// order.
std::uint64_t
DigestOf(const BoxRecord& aRecord)
{
  const auto& name = aRecord.mBox.mName.Value();
  return XXH64(name.data(), name.size(), aRecord.mRevision);
}

} // namespace

bool
Directory::Merge(const BoxRecord& aRecord)
{
  const auto& name = aRecord.mBox.mName;
  const auto it = mRecords.find(name);
  if (it != mRecords.end()) {
    if (aRecord.mRevision <= it->second.mRevision) {
      return false;
    }
    mDigest ^= DigestOf(it->second);
  }
  mRecords.insert_or_assign(name, aRecord);
  mDigest ^= DigestOf(aRecord);
  return true;
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

} // namespace porttiller
