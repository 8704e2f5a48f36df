// The configuration objects that a node holds, versioned by the platform's
// store-wide revision. At the same revision the set has the same contents on
// every node, so comparing revisions shows which node is behind.
#pragma once

#include "porttiller/config/UnreadableObject.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace porttiller {

struct ObjectKey
{
  std::string mKind;
  std::string mName;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

// One version of one object. A deleted object is a tombstone without a spec.
struct Object
{
  ObjectKey mKey;
  // The store's revision at the time of the write. For an object of a document:
  // a revision since which its holder has seen no change of the object.
  std::uint64_t mVersion = 0;
  bool mDeleted = false;
  std::string mSpecJson;

  friend auto operator<=>(const Object&, const Object&) = default;
};

// All changes after revision mFrom up to and including mTo. With mFull, the
// complete set at mTo; mFrom is then ignored.
struct ObjectDelta
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  bool mFull = false;
  // The objects come from a single document that is always written as a whole.
  // The delta then may not cover the contents of revisions between mFrom and
  // mTo.
  bool mOfDocument = false;
  std::vector<Object> mObjects;
  // The revision at which the next watch of the store starts; mTo or later.
  std::uint64_t mCursor = 0;
  // Objects that could not be read and are not in mObjects; set only in
  // answers of the store.
  std::vector<UnreadableObject> mUnreadable;

  friend bool operator==(const ObjectDelta&, const ObjectDelta&) = default;
};

enum class ApplyError
{
  kStale, // the delta has nothing newer than the set
  kGap    // changes between the set and the delta are missing
};

inline constexpr std::size_t kApplyErrorCount = 2;

const char*
ToText(ApplyError aError);

struct ObjectSetOptions
{
  // Number of tombstones kept for deltas. Nodes at revisions before the oldest
  // one get the full set.
  std::size_t mMaxTombstones = 4096;
  // Number of remembered revisions at which this set held a document. A node at
  // another revision gets the full set.
  std::size_t mMaxHeld = 64;
};

// Owned by the configuration controller, under its lock.
class ObjectSet
{
public:
  explicit ObjectSet(ObjectSetOptions aOptions = {});

  std::uint64_t Revision() const { return mRevision; }
  // Hash of the contents, to verify that sets at equal revisions are equal.
  std::uint64_t Digest() const { return mDigest; }
  std::size_t Size() const { return mObjects.size(); }

  // Advances the set to aDelta.mTo atomically, or leaves it unchanged on error.
  // Returns the keys of the objects that changed.
  tl::expected<std::vector<ObjectKey>, ApplyError> Apply(
    const ObjectDelta& aDelta);

  // The changes that a node at revision aFrom is missing.
  ObjectDelta Since(std::uint64_t aFrom) const;

  // Null if the object is absent or deleted.
  const Object* Find(const ObjectKey& aKey) const;

private:
  using Objects = std::map<ObjectKey, Object>;

  void Put(const Object& aObject,
           std::uint64_t aVersion,
           bool aOfDocument,
           std::vector<ObjectKey>& aChanged);
  void DropAbsent(const ObjectDelta& aFull, std::vector<ObjectKey>& aChanged);
  Objects::iterator Erase(Objects::iterator aObject);
  Objects::iterator ReplaceWithTombstone(Objects::iterator aObject,
                                         std::uint64_t aVersion);
  void TrimTombstones();
  void RecordRevision(bool aOfDocument);
  bool CoversFrom(std::uint64_t aFrom) const;

  ObjectSetOptions mOptions;
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  // Deltas from earlier revisions are full.
  std::uint64_t mCompactedRevision = 0;
  bool mOfDocument = false; // value in the last delta
  // Latest revisions of a document that this set held.
  std::set<std::uint64_t> mHeld;
  Objects mObjects;
  std::set<std::pair<std::uint64_t, ObjectKey>> mTombstones; // by version
};

} // namespace porttiller
