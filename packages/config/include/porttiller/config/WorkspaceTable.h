// Finds the workspace of a key.
#pragma once

#include "porttiller/config/Resources.h"

#include <array>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace porttiller {

using WorkspacePtr = std::shared_ptr<const WorkspaceSpec>;

// Two workspaces that list the same key.
struct KeyClash
{
  WorkspaceName mHolder; // the first by name: the key is its own
  WorkspaceName mOther;

  friend auto operator<=>(const KeyClash&, const KeyClash&) = default;
};

// A value: copies share every part that neither of them has changed since, so
// one change costs the copy of a few shards. Part of a Snapshot.
class WorkspaceTable
{
public:
  // One look-up, whatever the number of workspaces. Null when nobody holds the
  // key.
  WorkspacePtr FindByKey(const std::string& aKey) const;
  WorkspacePtr Find(const WorkspaceName& aName) const;
  bool Empty() const { return mSize == 0; }
  std::size_t Size() const { return mSize; }

  // In place of what is held of this workspace.
  void Put(const WorkspaceSpec& aSpec);
  void Remove(const WorkspaceName& aName);

  std::vector<KeyClash> Clashes() const;

private:
  static constexpr std::size_t kShards = 256;

  // In the order of their names; nearly always one.
  using Holders = std::vector<WorkspacePtr>;
  using KeyShard = std::unordered_map<std::string, Holders>;
  using NameShard = std::unordered_map<std::string, WorkspacePtr>;
  template<typename Shard>
  using Shards = std::array<std::shared_ptr<const Shard>, kShards>;

  void AddHolder(const std::string& aKey, const WorkspacePtr& aHolder);
  void RemoveHolder(const std::string& aKey, const WorkspaceName& aName);

  Shards<KeyShard> mByKey; // null: empty
  Shards<NameShard> mByName;
  std::size_t mSize = 0;
  std::set<std::string> mContested; // keys with several holders
};

} // namespace porttiller
