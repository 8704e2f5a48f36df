#include "porttiller/config/WorkspaceTable.h"

#include <algorithm>
#include <functional>

namespace porttiller {

namespace {

template<typename Shards>
auto&
ShardOf(Shards& aShards, const std::string& aText)
{
  return aShards[std::hash<std::string>{}(aText) % aShards.size()];
}

// Applies aChange to a copy of the shard and replaces the shard with it.
template<typename Shard, typename Change>
void
ChangeShard(std::shared_ptr<const Shard>& aShard, Change aChange)
{
  auto next =
    aShard ? std::make_shared<Shard>(*aShard) : std::make_shared<Shard>();
  aChange(*next);
  aShard = std::move(next);
}

} // namespace

WorkspacePtr
WorkspaceTable::FindByKey(const std::string& aKey) const
{
  const auto& shard = ShardOf(mByKey, aKey);
  if (!shard) {
    return nullptr;
  }
  const auto it = shard->find(aKey);
  return it == shard->end() ? nullptr : it->second.front();
}

WorkspacePtr
WorkspaceTable::Find(const WorkspaceName& aName) const
{
  const auto& shard = ShardOf(mByName, aName.Value());
  if (!shard) {
    return nullptr;
  }
  const auto it = shard->find(aName.Value());
  return it == shard->end() ? nullptr : it->second;
}

void
WorkspaceTable::Put(const WorkspaceSpec& aSpec)
{
  Remove(aSpec.mName);
  const auto holder = std::make_shared<const WorkspaceSpec>(aSpec);
  const auto& name = aSpec.mName.Value();
  ChangeShard(ShardOf(mByName, name),
              [&](NameShard& aShard) { aShard[name] = holder; });
  ++mSize;
  for (const auto& key : aSpec.mKeys) {
    AddHolder(key, holder);
  }
}

void
WorkspaceTable::Remove(const WorkspaceName& aName)
{
  const auto held = Find(aName);
  if (!held) {
    return;
  }
  ChangeShard(ShardOf(mByName, aName.Value()),
              [&](NameShard& aShard) { aShard.erase(aName.Value()); });
  --mSize;
  for (const auto& key : held->mKeys) {
    RemoveHolder(key, aName);
  }
}

void
WorkspaceTable::AddHolder(const std::string& aKey, const WorkspacePtr& aHolder)
{
  ChangeShard(ShardOf(mByKey, aKey), [&](KeyShard& aShard) {
    auto& holders = aShard[aKey];
    const auto place = std::find_if(
      holders.begin(), holders.end(), [&](const WorkspacePtr& aOther) {
        return aHolder->mName < aOther->mName;
      });
    holders.insert(place, aHolder);
    if (holders.size() > 1) {
      mConflictingKeys.insert(aKey);
    }
  });
}

void
WorkspaceTable::RemoveHolder(const std::string& aKey,
                             const WorkspaceName& aName)
{
  ChangeShard(ShardOf(mByKey, aKey), [&](KeyShard& aShard) {
    auto& holders = aShard[aKey];
    std::erase_if(holders, [&](const WorkspacePtr& aHolder) {
      return aHolder->mName == aName;
    });
    if (holders.size() < 2) {
      mConflictingKeys.erase(aKey);
    }
    if (holders.empty()) {
      aShard.erase(aKey);
    }
  });
}

std::vector<KeyConflict>
WorkspaceTable::Conflicts() const
{
  std::vector<KeyConflict> conflicts;
  for (const auto& key : mConflictingKeys) {
    const auto& holders = ShardOf(mByKey, key)->at(key);
    for (auto it = std::next(holders.begin()); it != holders.end(); ++it) {
      conflicts.push_back({ holders.front()->mName, (*it)->mName });
    }
  }
  return conflicts;
}

} // namespace porttiller
