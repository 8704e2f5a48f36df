#include "porttiller/config/ObjectSet.h"

#include <xxhash.h>

namespace porttiller {

namespace {

// The digest of a set is the XOR of these, so it does not depend on order. It
// leaves out versions, because nodes may have received the same contents of a
// document at different revisions.
std::uint64_t
DigestOf(const Object& aObject)
{
  const auto& key = aObject.mKey;
  const auto& spec = aObject.mSpecJson;
  const auto content = XXH64(spec.data(), spec.size(), 0);
  const auto kind = XXH64(key.mKind.data(), key.mKind.size(), content);
  return XXH64(key.mName.data(), key.mName.size(), kind);
}

} // namespace

const char*
ToText(ApplyError aError)
{
  return aError == ApplyError::kStale ? "stale" : "gap";
}

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
  // For a document, the sender may have missed contents between its revisions,
  // so the delta must start exactly at the revision of this set.
  const bool isContiguous =
    aDelta.mOfDocument ? aDelta.mFrom == mRevision : aDelta.mFrom <= mRevision;
  if (!aDelta.mFull && !isContiguous) {
    return tl::make_unexpected(ApplyError::kGap);
  }
  std::vector<ObjectKey> changed;
  for (const auto& object : aDelta.mObjects) {
    // An object that a complete document changes gets the document's revision,
    // even if the sender has had this version of it since an earlier revision.
    const bool isNew = aDelta.mFull && aDelta.mOfDocument;
    const auto version = isNew ? aDelta.mTo : object.mVersion;
    Put(object, version, aDelta.mOfDocument, changed);
  }
  if (aDelta.mFull) {
    DropAbsent(aDelta, changed);
  }
  mRevision = aDelta.mTo;
  TrimTombstones();
  RecordRevision(aDelta.mOfDocument);
  return changed;
}

void
ObjectSet::RecordRevision(bool aOfDocument)
{
  mOfDocument = aOfDocument;
  mHeld.insert(mRevision);
  if (mHeld.size() > mOptions.mMaxHeld) {
    mHeld.erase(mHeld.begin());
  }
}

// Whether all changes after aFrom are known.
bool
ObjectSet::CoversFrom(std::uint64_t aFrom) const
{
  const bool known =
    !mOfDocument || aFrom >= mRevision || mHeld.contains(aFrom);
  return known && aFrom >= mCompactedRevision;
}

void
ObjectSet::Put(const Object& aObject,
               std::uint64_t aVersion,
               bool aOfDocument,
               std::vector<ObjectKey>& aChanged)
{
  auto& held = mObjects[aObject.mKey];
  if (held.mVersion >= aVersion) {
    return;
  }
  const bool live = held.mVersion != 0 && !held.mDeleted;
  const bool same =
    live && !aObject.mDeleted && held.mSpecJson == aObject.mSpecJson;
  if (same && aOfDocument) {
    // Keeps the earlier version: nodes that held it have these contents.
    return;
  }
  if (live) {
    mDigest ^= DigestOf(held);
  }
  mTombstones.erase({ held.mVersion, held.mKey });
  held = aObject;
  held.mVersion = aVersion;
  if (held.mDeleted) {
    mTombstones.emplace(held.mVersion, held.mKey);
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
    it = aFull.mOfDocument ? ReplaceWithTombstone(it, aFull.mTo) : Erase(it);
  }
  if (!aFull.mOfDocument || mRevision == 0) {
    // The individual deletions up to this revision are unknown.
    mCompactedRevision = aFull.mTo;
  }
}

ObjectSet::Objects::iterator
ObjectSet::Erase(Objects::iterator aObject)
{
  mTombstones.erase({ aObject->second.mVersion, aObject->first });
  return mObjects.erase(aObject);
}

// Replaces an object that the document no longer has with a tombstone.
ObjectSet::Objects::iterator
ObjectSet::ReplaceWithTombstone(Objects::iterator aObject,
                                std::uint64_t aVersion)
{
  auto& object = aObject->second;
  if (!object.mDeleted) {
    object = { .mKey = aObject->first,
               .mVersion = aVersion,
               .mDeleted = true,
               .mSpecJson = "" };
    mTombstones.emplace(aVersion, aObject->first);
  }
  return std::next(aObject);
}

void
ObjectSet::TrimTombstones()
{
  while (mTombstones.size() > mOptions.mMaxTombstones) {
    const auto oldest = mTombstones.begin();
    mCompactedRevision = std::max(mCompactedRevision, oldest->first);
    mObjects.erase(oldest->second);
    mTombstones.erase(oldest);
  }
}

ObjectDelta
ObjectSet::Since(std::uint64_t aFrom) const
{
  ObjectDelta delta{ .mFrom = aFrom,
                     .mTo = mRevision,
                     .mFull = !CoversFrom(aFrom),
                     .mOfDocument = mOfDocument,
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
