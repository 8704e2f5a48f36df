#include "porttiller/config/WorkspaceTable.h"
#include "porttiller/config/Snapshot.h"

#include "FuzzDraw.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace porttiller;

namespace {

WorkspaceSpec
Workspace(const std::string& aName, std::vector<std::string> aKeys)
{
  return { .mName = WorkspaceName(aName), .mKeys = std::move(aKeys) };
}

std::string
HolderOf(const WorkspaceTable& aTable, const std::string& aKey)
{
  const auto holder = aTable.FindByKey(aKey);
  return holder ? holder->mName.Value() : "";
}

std::string
SpecText(const std::vector<std::string>& aKeys)
{
  std::string text;
  for (const auto& key : aKeys) {
    text += (text.empty() ? "\"" : ",\"") + key + "\"";
  }
  return R"({"keys":[)" + text + "]}";
}

class Objects
{
public:
  // Each pair is a workspace name and its spec; an empty spec deletes the
  // workspace.
  SnapshotPtr Apply(
    const std::vector<std::pair<std::string, std::string>>& aSpecs)
  {
    ObjectDelta delta{ .mFrom = mSet.Revision(), .mTo = mSet.Revision() + 1 };
    for (const auto& [name, spec] : aSpecs) {
      delta.mObjects.push_back({ .mKey = { kWorkspaceKind, name },
                                 .mVersion = delta.mTo,
                                 .mDeleted = spec.empty(),
                                 .mSpecJson = spec });
    }
    const auto changed = mSet.Apply(delta);
    REQUIRE(changed.has_value());
    return mBuilder.Build(mSet, *changed);
  }

private:
  ObjectSet mSet;
  SnapshotBuilder mBuilder;
};

} // namespace

TEST_CASE("An API key belongs to a workspace only while the workspace lists it")
{
  WorkspaceTable table;
  CHECK(table.Empty());
  table.Put(Workspace("a", { "k1", "k2" }));
  const auto before = table;
  table.Put(Workspace("a", { "k2", "k3" }));
  CHECK(HolderOf(table, "k1").empty());
  CHECK(HolderOf(table, "k2") == "a");
  CHECK(HolderOf(table, "k3") == "a");
  CHECK(table.Size() == 1);
  table.Remove(WorkspaceName("a"));
  CHECK(HolderOf(table, "k2").empty());
  CHECK(table.Empty());
  // An earlier copy is unchanged.
  CHECK(HolderOf(before, "k1") == "a");
}

TEST_CASE("An API key that moves has one holder, in either order of changes")
{
  for (const bool backwards : { false, true }) {
    Objects objects;
    objects.Apply({ { "a", SpecText({ "k" }) }, { "b", SpecText({}) } });
    std::vector<std::pair<std::string, std::string>> move = {
      { "a", SpecText({}) }, { "b", SpecText({ "k" }) }
    };
    if (backwards) {
      std::swap(move.front(), move.back());
    }
    const auto moved = objects.Apply(move);
    CHECK(HolderOf(*moved->mWorkspaces, "k") == "b");
    CHECK(moved->mRejections.empty());
  }
}

TEST_CASE("An API key of two workspaces belongs to the first and is reported")
{
  Objects objects;
  const auto conflict = objects.Apply({ { "b", SpecText({ "secret", "own" }) },
                                        { "a", SpecText({ "secret" }) } });
  CHECK(HolderOf(*conflict->mWorkspaces, "secret") == "a");
  CHECK(HolderOf(*conflict->mWorkspaces, "own") == "b");
  REQUIRE(conflict->mRejections.size() == 1);
  CHECK(conflict->mRejections[0].mKey.mName == "b");
  CHECK(ToText(conflict->mRejections[0].mErrors).find("secret") ==
        std::string::npos);
  const auto resolved = objects.Apply({ { "a", "" } });
  CHECK(HolderOf(*resolved->mWorkspaces, "secret") == "b");
  CHECK(resolved->mRejections.empty());
}

TEST_CASE(
  "An invalid workspace replaces nothing, and its errors show no API key")
{
  Objects objects;
  objects.Apply({ { "a", SpecText({ "k" }) } });
  const auto bad = objects.Apply(
    { { "a",
        R"({"keys":["has blank","","twice","twice"],"rate_per_s":-1,)"
        R"("burst":1.5,"priority":"high","more":1})" } });
  CHECK(HolderOf(*bad->mWorkspaces, "k") == "a");
  REQUIRE(bad->mRejections.size() == 1);
  const auto text = ToText(bad->mRejections[0].mErrors);
  CAPTURE(text);
  CHECK(text.find("key 1") != std::string::npos);
  CHECK(text.find("key 2") != std::string::npos);
  CHECK(text.find("key 4") != std::string::npos);
  CHECK(text.find("rate_per_s") != std::string::npos);
  CHECK(text.find("burst") != std::string::npos);
  CHECK(text.find("priority") != std::string::npos);
  CHECK(text.find("more") != std::string::npos);
  CHECK(text.find("blank") == std::string::npos);
  CHECK(text.find("twice") == text.rfind("twice"));
  CHECK(bad->mRejections[0].mErrors.size() == 7);
}

TEST_CASE("After any sequence of changes only the latest API keys are valid")
{
  const bool ok = rc::check([] {
    Objects objects;
    std::map<std::string, std::vector<std::string>> oracle; // keys by name
    for (int version = 0; version < 20; ++version) {
      std::vector<std::pair<std::string, std::string>> changes;
      std::map<std::string, std::vector<std::string>> changed;
      const int count = Draw(1, 4);
      for (int i = 0; i < count; ++i) {
        const auto name = std::string(1, Draw('a', 'f'));
        std::vector<std::string> keys;
        for (char key = 'p'; key < 'v'; ++key) {
          if (Draw(0, 4) == 0) {
            keys.emplace_back(1, key);
          }
        }
        changed[name] = keys;
      }
      for (const auto& [name, keys] : changed) {
        const bool removed = Draw(0, 4) == 0;
        changes.emplace_back(name, removed ? "" : SpecText(keys));
        if (removed) {
          oracle.erase(name);
        } else {
          oracle[name] = keys;
        }
      }
      const auto snapshot = objects.Apply(changes);
      const auto& table = *snapshot->mWorkspaces;
      RC_ASSERT(table.Size() == oracle.size());
      for (char key = 'p'; key < 'v'; ++key) {
        const std::string text(1, key);
        const auto first =
          std::find_if(oracle.begin(), oracle.end(), [&](const auto& aHeld) {
            return std::count(aHeld.second.begin(), aHeld.second.end(), text);
          });
        RC_ASSERT(HolderOf(table, text) ==
                  (first == oracle.end() ? "" : first->first));
      }
    }
  });
  CHECK(ok);
}
