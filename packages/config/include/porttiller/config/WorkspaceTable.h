// Finds the workspace of an API key.
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

// Two workspaces that list the same API key.
struct KeyConflict
{
  WorkspaceName mHolder; // the first by name, to which the API key belongs
  WorkspaceName mOther;

  friend auto operator<=>(const KeyConflict&, const KeyConflict&) = default;
};

// Copy-on-write: copies share all shards that neither has changed since, so a
// change copies only a few shards. Part of a Snapshot.
class WorkspaceTable
{
public:
  // Takes one look-up, independent of the number of workspaces. Null if no
  // workspace has the API key.
  WorkspacePtr FindByKey(const std::string& aKey) const;
  WorkspacePtr Find(const WorkspaceName& aName) const;
  bool Empty() const { return mSize == 0; }
  std::size_t Size() const { return mSize; }

  // Adds the workspace or replaces its current spec.
  void Put(const WorkspaceSpec& aSpec);
  void Remove(const WorkspaceName& aName);

  std::vector<KeyConflict> Conflicts() const;

private:
  static constexpr std::size_t kShards = 256;

  // Workspaces with the same API key, by name; nearly always one.
  using Holders = std::vector<WorkspacePtr>;
  using KeyShard = std::unordered_map<std::string, Holders>;
  using NameShard = std::unordered_map<std::string, WorkspacePtr>;
  template<typename Shard>
  using Shards = std::array<std::shared_ptr<const Shard>, kShards>;

  void AddHolder(const std::string& aKey, const WorkspacePtr& aHolder);
  void RemoveHolder(const std::string& aKey, const WorkspaceName& aName);

  Shards<KeyShard> mByKey; // null shards are empty
  Shards<NameShard> mByName;
  std::size_t mSize = 0;
  std::set<std::string> mConflictingKeys; // API keys of several workspaces
};

} // namespace porttiller
