#include "porttiller/config/ObjectSet.h"

#include <set>
#include <xxhash.h>

namespace porttiller {

namespace {

// Order does not matter: the digest of a set is the xor over its objects.
std::uint64_t
DigestOf(const Object& aObject)
{
  const auto& key = aObject.mKey;
  const auto kind = XXH64(key.mKind.data(), key.mKind.size(), aObject.mVersion);
  return XXH64(key.mName.data(), key.mName.size(), kind);
}

} // namespace

ObjectSet::ObjectSet(ObjectSetOptions aOptions)
  : mOptions(aOptions)
{
}

const Object*
ObjectSet::Find(const ObjectKey& aKey) const
{
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end() || it->second.mDeleted) {
    return nullptr;
  }
  return &it->second;
}

tl::expected<std::vector<ObjectKey>, ApplyError>
ObjectSet::Apply(const ObjectDelta& aDelta)
{
  if (aDelta.mTo <= mRevision) {
    return tl::make_unexpected(ApplyError::kStale);
  }
  if (!aDelta.mFull && aDelta.mFrom > mRevision) {
    return tl::make_unexpected(ApplyError::kGap);
  }
  std::vector<ObjectKey> changed;
  for (const auto& object : aDelta.mObjects) {
    Put(object, changed);
  }
  if (aDelta.mFull) {
    DropAbsent(aDelta, changed);
  }
  mRevision = aDelta.mTo;
  TrimTombstones();
  return changed;
}

void
ObjectSet::Put(const Object& aObject, std::vector<ObjectKey>& aChanged)
{
  auto& held = mObjects[aObject.mKey];
  if (held.mVersion >= aObject.mVersion) {
    return;
  }
  if (held.mVersion != 0 && !held.mDeleted) {
    mDigest ^= DigestOf(held);
  }
  mTombstones.erase(held.mVersion);
  const bool same = held.mVersion != 0 && !held.mDeleted && !aObject.mDeleted &&
                    held.mSpecJson == aObject.mSpecJson;
  held = aObject;
  if (held.mDeleted) {
    mTombstones[held.mVersion] = held.mKey;
  } else {
    mDigest ^= DigestOf(held);
  }
  if (!same) {
    aChanged.push_back(aObject.mKey);
  }
}

void
ObjectSet::DropAbsent(const ObjectDelta& aFull,
                      std::vector<ObjectKey>& aChanged)
{
  std::set<ObjectKey> present;
  for (const auto& object : aFull.mObjects) {
    present.insert(object.mKey);
  }
  for (auto it = mObjects.begin(); it != mObjects.end();) {
    if (present.contains(it->first)) {
      ++it;
      continue;
    }
    if (!it->second.mDeleted) {
      mDigest ^= DigestOf(it->second);
      aChanged.push_back(it->first);
    }
    mTombstones.erase(it->second.mVersion);
    it = mObjects.erase(it);
  }
  // Deletions up to here are not known one by one.
  mCompacted = aFull.mTo;
}

void
ObjectSet::TrimTombstones()
{
  while (mTombstones.size() > mOptions.mMaxTombstones) {
    const auto oldest = mTombstones.begin();
    mCompacted = std::max(mCompacted, oldest->first);
    mObjects.erase(oldest->second);
    mTombstones.erase(oldest);
  }
}

ObjectDelta
ObjectSet::Since(std::uint64_t aFrom) const
{
  ObjectDelta delta{ .mFrom = aFrom,
                     .mTo = mRevision,
                     .mFull = aFrom < mCompacted,
                     .mObjects = {} };
  for (const auto& [key, object] : mObjects) {
    const bool wanted =
      delta.mFull ? !object.mDeleted : object.mVersion > aFrom;
    if (wanted) {
      delta.mObjects.push_back(object);
    }
  }
  return delta;
}

} // namespace porttiller
