#include "porttiller/control/StatusController.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/control/StoreClient.h"
#include "porttiller/core/Rendezvous.h"
#include "porttiller/store/WriteWithReadBack.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/JSON/Array.h>

namespace porttiller {

namespace {

constexpr Millis kCallTimeout{ 3000 };
constexpr Millis kInterval{ 2000 }; // of checks, with at most one write each
constexpr Millis kQueryTimeout{ 300 };
constexpr Millis kFullRoundInterval{ 300'000 }; // all boxes are queried again
constexpr const char* kOwnerKeyPrefix = "status/";

Poco::JSON::Array
RejectionsJson(const Snapshot& aSnapshot)
{
  Poco::JSON::Array items;
  for (const auto& rejection : aSnapshot.mRejections) {
    Poco::JSON::Object item(Poco::JSON_PRESERVE_KEY_ORDER);
    item.set("kind", rejection.mKey.mKind);
    item.set("name", rejection.mKey.mName);
    item.set("version", rejection.mVersion);
    item.set("errors", ToText(rejection.mErrors));
    items.add(item);
  }
  return items;
}

} // namespace

StatusController::StatusController(const Settings& aSettings,
                                   const ConfigController& aConfig,
                                   const MembershipController& aMembership,
                                   PeerTransport& aTransport,
                                   Metrics& aMetrics)
  : mSettings(aSettings)
  , mConfig(aConfig)
  , mMembership(aMembership)
  , mTransport(aTransport)
  , mMetrics(aMetrics)
  , mClient(StoreClientOptions(aSettings, "status", kCallTimeout))
{
}

void
StatusController::Start()
{
  mTicker = std::make_unique<Ticker>(kInterval, [this] { Tick(); });
}

void
StatusController::Stop()
{
  mTicker.reset();
}

bool
StatusController::IsWriter(std::uint64_t aRevision) const
{
  const auto owners = RendezvousOwners(
    kOwnerKeyPrefix + std::to_string(aRevision), mMembership.LiveBoxes(), 1);
  return !owners.empty() && owners.front() == mSettings.mBox;
}

std::uint64_t
StatusController::RevisionAt(const BoxSpec& aBox)
{
  if (aBox.mName == mSettings.mBox) {
    return mConfig.Own().mRevision;
  }
  wire::Envelope request;
  request.mutable_probe();
  const auto reply =
    mTransport.Call(aBox.mControlAddress, std::move(request), kQueryTimeout);
  return reply && reply->has_probe_reply() ? reply->probe_reply().revision()
                                           : 0;
}

void
StatusController::Collect(const Snapshot& aSnapshot)
{
  if (mCollectedRevision != aSnapshot.mRevision || Now() >= mNextFullRound) {
    mRevisions.clear();
    mCollectedRevision = aSnapshot.mRevision;
    mNextFullRound = Now() + kFullRoundInterval;
  }
  std::erase_if(mRevisions, [&](const auto& aItem) {
    return aSnapshot.FindBox(aItem.first) == nullptr;
  });
  for (const auto& [name, box] : aSnapshot.mBoxes) {
    auto& revision = mRevisions[name];
    if (revision < aSnapshot.mRevision) {
      revision = RevisionAt(box);
    }
  }
}

std::string
StatusController::Describe(const Snapshot& aSnapshot) const
{
  Poco::JSON::Array behind;
  Poco::JSON::Array unresponsive;
  std::size_t inForce = 0;
  for (const auto& [box, revision] : mRevisions) {
    if (revision == 0) {
      unresponsive.add(box.Value());
    } else if (revision < aSnapshot.mRevision) {
      behind.add(box.Value());
    } else {
      ++inForce;
    }
  }
  Poco::JSON::Object status(Poco::JSON_PRESERVE_KEY_ORDER);
  status.set("accepted_revision", aSnapshot.mRevision);
  status.set("boxes_in_force", inForce);
  status.set("boxes_behind", behind);
  status.set("boxes_silent", unresponsive);
  status.set("rejected", RejectionsJson(aSnapshot));
  status.set("writer", mSettings.mBox.Value());
  return ToJsonText(status);
}

void
StatusController::Write(std::uint64_t aRevision, const std::string& aStatus)
{
  const ObjectKey key{ kStatusKind, kStatusName };
  mMetrics.PlatformCalls().Increment();
  const auto held = mClient.Get(key);
  const bool absent = !held && held.error().mKind == StoreErrorKind::kNotFound;
  if (!held && !absent) {
    return;
  }
  if (held) {
    const auto json = ParseJsonObject(held->mSpecJson);
    const auto reported =
      json ? (*json)->optValue<std::uint64_t>("accepted_revision", 0) : 0;
    if (reported > aRevision) {
      return; // this box is behind; another one writes the newer revision
    }
  }
  if (WriteWithReadBack(mClient, key, held ? held->mVersion : 0, aStatus)) {
    mWrittenStatus = aStatus;
  }
}

void
StatusController::Tick()
{
  const auto snapshot = mConfig.Current();
  if (!snapshot || !mConfig.PlatformReachable() ||
      !IsWriter(snapshot->mRevision)) {
    mWrittenStatus.clear();
    mCollectedRevision = 0;
    return;
  }
  Collect(*snapshot);
  const auto status = Describe(*snapshot);
  if (status != mWrittenStatus) {
    Write(snapshot->mRevision, status);
  }
}

} // namespace porttiller
