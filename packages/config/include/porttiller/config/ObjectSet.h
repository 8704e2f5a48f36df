// The configuration objects that a node holds, ordered by the platform's
// store-wide revision. The set at revision R has the same contents on every
// node, so a revision number alone tells two nodes who is behind.
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

// One version of one object; a deleted one is a tombstone without a spec.
struct Object
{
  ObjectKey mKey;
  // The store's revision when it was written. Of an object of a document: a
  // revision since which its holder has seen it unchanged.
  std::uint64_t mVersion = 0;
  bool mDeleted = false;
  std::string mSpecJson;

  friend auto operator<=>(const Object&, const Object&) = default;
};

// All changes after revision mFrom up to and including mTo. With mFull set,
// the whole set at mTo, whatever mFrom says.
struct ObjectDelta
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  bool mFull = false;
  // The objects come from one document that is written as a whole. Revisions
  // between mFrom and mTo may then have had contents that are not told here.
  bool mOfDocument = false;
  std::vector<Object> mObjects;
  // Where the store's next watch goes on; at or after mTo.
  std::uint64_t mCursor = 0;
  // What was left out of mObjects; of a store's answer only.
  std::vector<UnreadableObject> mUnreadable;

  friend bool operator==(const ObjectDelta&, const ObjectDelta&) = default;
};

enum class ApplyError
{
  kStale, // nothing in it is newer than the set
  kGap    // changes between the set and the delta are missing
};

inline constexpr std::size_t kApplyErrorCount = 2;

const char*
ToText(ApplyError aError);

struct ObjectSetOptions
{
  // Tombstones kept for deltas; older nodes get the full set instead.
  std::size_t mMaxTombstones = 4096;
  // Revisions of a document that are remembered as held; a node that holds
  // another one gets the full set.
  std::size_t mMaxHeld = 64;
};

// Owned by the configuration controller, under its lock.
class ObjectSet
{
public:
  explicit ObjectSet(ObjectSetOptions aOptions = {});

  std::uint64_t Revision() const { return mRevision; }
  // Hash over all contents, to check that equal revisions mean equal sets.
  std::uint64_t Digest() const { return mDigest; }
  std::size_t Size() const { return mObjects.size(); }

  // Moves the set forward to aDelta.mTo in one step, or leaves it untouched.
  // Returns the keys that changed.
  tl::expected<std::vector<ObjectKey>, ApplyError> Apply(
    const ObjectDelta& aDelta);

  // What a node at revision aFrom lacks.
  ObjectDelta Since(std::uint64_t aFrom) const;

  // Null when absent or deleted.
  const Object* Find(const ObjectKey& aKey) const;

private:
  using Objects = std::map<ObjectKey, Object>;

  void Put(const Object& aObject,
           std::uint64_t aVersion,
           bool aOfDocument,
           std::vector<ObjectKey>& aChanged);
  void DropAbsent(const ObjectDelta& aFull, std::vector<ObjectKey>& aChanged);
  Objects::iterator Forget(Objects::iterator aObject);
  Objects::iterator Bury(Objects::iterator aObject, std::uint64_t aVersion);
  void TrimTombstones();
  void NoteHeld(bool aOfDocument);
  bool CoversFrom(std::uint64_t aFrom) const;

  ObjectSetOptions mOptions;
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::uint64_t mCompacted = 0;  // deltas from before this are full
  bool mOfDocument = false;      // of the last delta
  std::set<std::uint64_t> mHeld; // newest revisions of a document
  Objects mObjects;
  std::set<std::pair<std::uint64_t, ObjectKey>> mTombstones; // by version
};

} // namespace porttiller
