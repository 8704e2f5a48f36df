#include "porttiller/config/ObjectSet.h"

#include "FuzzDraw.h"
#include <doctest/doctest.h>

using namespace porttiller;

namespace {

// A model of the platform's store: the reference for the sets of all nodes.
class Store
{
public:
  void Write(const std::string& aName, bool aDelete)
  {
    ++mRevision;
    mLog.push_back({ .mKey = { "Service", aName },
                     .mVersion = mRevision,
                     .mDeleted = aDelete,
                     .mSpecJson = aDelete ? "" : std::to_string(mRevision) });
  }

  std::map<std::string, Object> LiveAt(std::uint64_t aRevision) const
  {
    std::map<std::string, Object> live;
    for (const auto& object : mLog) {
      if (object.mVersion > aRevision) {
        break;
      }
      live.erase(object.mKey.mName);
      if (!object.mDeleted) {
        live[object.mKey.mName] = object;
      }
    }
    return live;
  }

  ObjectDelta Changes(std::uint64_t aFrom, std::uint64_t aTo) const
  {
    ObjectDelta delta{ .mFrom = aFrom, .mTo = aTo, .mFull = false };
    for (const auto& object : mLog) {
      if (object.mVersion > aFrom && object.mVersion <= aTo) {
        delta.mObjects.push_back(object);
      }
    }
    return delta;
  }

  std::uint64_t Revision() const { return mRevision; }

private:
  std::uint64_t mRevision = 0;
  std::vector<Object> mLog;
};

void
CheckMatches(const ObjectSet& aSet, const Store& aStore)
{
  const auto live = aStore.LiveAt(aSet.Revision());
  for (const char* name : { "a", "b", "c", "d" }) {
    const auto* object = aSet.Find({ "Service", name });
    const auto it = live.find(name);
    RC_ASSERT((object != nullptr) == (it != live.end()));
    if (object != nullptr) {
      RC_ASSERT(*object == it->second);
    }
  }
}

} // namespace

TEST_CASE("Each node's set equals the store's contents at the node's revision")
{
  // Three nodes apply deltas from the store and from each other, which may be
  // delayed, duplicated and reordered, and may restart with an empty set.
  // Within an incarnation the revision never decreases.
  const bool ok = rc::check([] {
    Store store;
    std::vector<ObjectSet> nodes(3, ObjectSet({ .mMaxTombstones = 2 }));
    std::vector<ObjectDelta> inFlight;
    const auto steps = Draw(1, 60);
    for (int step = 0; step < steps; ++step) {
      auto& node = nodes[Draw<std::size_t>(0, nodes.size())];
      const auto before = node.Revision();
      switch (Draw(0, 6)) {
        case 0:
          store.Write(*rc::gen::element<std::string>("a", "b", "c", "d"),
                      Draw(0, 3) == 0);
          break;
        case 1: // from the platform's watch
          static_cast<void>(
            node.Apply(store.Changes(before, store.Revision())));
          break;
        case 2: // a peer answers an earlier request
          inFlight.push_back(nodes[Draw<std::size_t>(0, nodes.size())].Since(
            Draw<std::uint64_t>(0, store.Revision() + 1)));
          break;
        case 3:
          if (!inFlight.empty()) { // delivered, possibly more than once
            static_cast<void>(
              node.Apply(inFlight[Draw<std::size_t>(0, inFlight.size())]));
          }
          break;
        case 4:
          if (Draw(0, 4) == 0) {
            node = ObjectSet({ .mMaxTombstones = 2 });
            continue;
          }
          break;
        default:
          break;
      }
      RC_ASSERT(node.Revision() >= before);
      CheckMatches(node, store);
    }
    for (const auto& left : nodes) {
      for (const auto& right : nodes) {
        if (left.Revision() == right.Revision()) {
          RC_ASSERT(left.Digest() == right.Digest());
        }
      }
    }
  });
  CHECK(ok);
}

namespace {

// A model of a configuration document: each revision has all objects.
class Document
{
public:
  void Write(const std::string& aName, bool aDelete)
  {
    auto next = mRevisions.back();
    if (aDelete) {
      next.erase(aName);
    } else {
      next[aName] = std::to_string(mRevisions.size() % 3); // may be unchanged
    }
    mRevisions.push_back(next);
  }

  std::uint64_t Revision() const { return mRevisions.size() - 1; }

  ObjectDelta Whole() const
  {
    ObjectDelta delta{ .mTo = Revision(), .mFull = true, .mOfDocument = true };
    for (const auto& [name, spec] : mRevisions.back()) {
      delta.mObjects.push_back({ .mKey = { "Route", name },
                                 .mVersion = Revision(),
                                 .mSpecJson = spec });
    }
    return delta;
  }

  void CheckMatches(const ObjectSet& aSet) const
  {
    const auto& held = mRevisions.at(aSet.Revision());
    for (const char* name : { "a", "b", "c", "d" }) {
      const auto* object = aSet.Find({ "Route", name });
      const auto it = held.find(name);
      RC_ASSERT((object != nullptr) == (it != held.end()));
      if (object != nullptr) {
        RC_ASSERT(object->mSpecJson == it->second);
      }
    }
  }

private:
  std::vector<std::map<std::string, std::string>> mRevisions{ {} };
};

} // namespace

TEST_CASE("Nodes that skip revisions of a document agree at equal revisions")
{
  // Nodes read the document at different revisions and apply deltas from each
  // other, which may be delayed, duplicated and reordered. They may restart
  // with an empty set.
  const bool ok = rc::check([] {
    Document document;
    const ObjectSetOptions options{ .mMaxTombstones = 2, .mMaxHeld = 3 };
    std::vector<ObjectSet> nodes(3, ObjectSet(options));
    std::vector<ObjectDelta> inFlight;
    const auto steps = Draw(1, 60);
    for (int step = 0; step < steps; ++step) {
      auto& node = nodes[Draw<std::size_t>(0, nodes.size())];
      const auto before = node.Revision();
      switch (Draw(0, 5)) {
        case 0:
          document.Write(*rc::gen::element<std::string>("a", "b", "c", "d"),
                         Draw(0, 3) == 0);
          break;
        case 1:
          static_cast<void>(node.Apply(document.Whole()));
          break;
        case 2:
          inFlight.push_back(nodes[Draw<std::size_t>(0, nodes.size())].Since(
            nodes[Draw<std::size_t>(0, nodes.size())].Revision()));
          break;
        case 3:
          if (!inFlight.empty()) {
            static_cast<void>(
              node.Apply(inFlight[Draw<std::size_t>(0, inFlight.size())]));
          }
          break;
        default:
          if (Draw(0, 4) == 0) {
            node = ObjectSet(options);
            continue;
          }
          break;
      }
      RC_ASSERT(node.Revision() >= before);
      document.CheckMatches(node);
    }
    for (const auto& left : nodes) {
      for (const auto& right : nodes) {
        if (left.Revision() == right.Revision()) {
          RC_ASSERT(left.Digest() == right.Digest());
        }
      }
    }
  });
  CHECK(ok);
}

TEST_CASE("The delta of a new document has only the changed objects")
{
  Document document;
  for (const char* name : { "a", "b", "c" }) {
    document.Write(name, false);
  }
  ObjectSet set;
  REQUIRE(set.Apply(document.Whole()).has_value());
  const auto held = set.Revision();
  document.Write("b", false);
  document.Write("c", true);
  REQUIRE(set.Apply(document.Whole()).has_value());

  const auto delta = set.Since(held);
  CHECK_FALSE(delta.mFull);
  REQUIRE(delta.mObjects.size() == 2);
  CHECK(delta.mObjects[0].mKey.mName == "b");
  CHECK(delta.mObjects[1].mKey.mName == "c");
  CHECK(delta.mObjects[1].mDeleted);
  CHECK(set.Since(held - 1).mFull); // a revision that the set never held
  CHECK(set.Since(set.Revision()).mObjects.empty());
}
