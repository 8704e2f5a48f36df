#include "porttiller/control/LedgerStore.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/store/WriteWithReadBack.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

namespace porttiller {

namespace {

constexpr int kMaxTries = 5; // on conflicts with other writers
constexpr Millis kTimeout{ 2000 };

ObjectKey
KeyOf(const ServiceName& aService)
{
  return { kLedgerKind, aService.Value() };
}

LedgerEntry
DecodeEntry(const Poco::JSON::Object& aJson)
{
  const auto incarnation =
    ParseUnsigned(aJson.getValue<std::string>("incarnation"));
  return { .mServer = BackendServerName(aJson.getValue<std::string>("server")),
           .mBox = BoxName(aJson.getValue<std::string>("box")),
           .mIncarnation = Incarnation(incarnation.value_or(0)),
           .mSlots = aJson.getValue<int>("slots") };
}

} // namespace

std::string
EncodeLedger(const EjectionLedger& aLedger, const std::string& aWriter)
{
  Poco::JSON::Array entries;
  for (const auto& entry : aLedger.Entries()) {
    Poco::JSON::Object item;
    item.set("server", entry.mServer.Value());
    item.set("box", entry.mBox.Value());
    // As text, since JSON readers may not preserve 64-bit integers.
    item.set("incarnation", std::to_string(entry.mIncarnation.Value()));
    item.set("slots", entry.mSlots);
    entries.add(item);
  }
  Poco::JSON::Object document;
  document.set("entries", entries);
  document.set("writer", aWriter);
  return ToJsonText(document);
}

tl::expected<EjectionLedger, StoreError>
DecodeLedger(const std::string& aSpecJson)
{
  const auto bad = [](const std::string& aDetail) {
    return tl::make_unexpected(
      StoreError{ .mKind = StoreErrorKind::kBadAnswer,
                  .mDetail = "ejection ledger: " + aDetail });
  };
  const auto json = ParseJsonObject(aSpecJson);
  if (!json) {
    return bad("not a JSON object");
  }
  try {
    std::vector<LedgerEntry> entries;
    const auto items = (*json)->getArray("entries");
    if (items.isNull()) {
      return bad("missing array \"entries\"");
    }
    for (unsigned i = 0; i < items->size(); ++i) {
      entries.push_back(DecodeEntry(*items->getObject(i)));
    }
    return EjectionLedger(std::move(entries));
  } catch (const Poco::Exception& e) {
    return bad(e.displayText());
  }
}

LedgerStore::LedgerStore(const std::string& aPlatformAddress,
                         BoxName aBox,
                         Incarnation aIncarnation)
  : mClient({ .mAddress = aPlatformAddress, .mTimeout = kTimeout })
  , mBox(std::move(aBox))
  , mIncarnation(aIncarnation)
{
}

tl::expected<LedgerStore::VersionedLedger, StoreError>
LedgerStore::ReadVersioned(const ServiceName& aService)
{
  const auto object = mClient.Get(KeyOf(aService));
  if (!object) {
    if (object.error().mKind == StoreErrorKind::kNotFound) {
      return VersionedLedger();
    }
    return tl::make_unexpected(object.error());
  }
  auto ledger = DecodeLedger(object->mSpecJson);
  if (!ledger) {
    return tl::make_unexpected(ledger.error());
  }
  return VersionedLedger{ std::move(*ledger), object->mVersion };
}

tl::expected<EjectionLedger, StoreError>
LedgerStore::Read(const ServiceName& aService)
{
  return ReadVersioned(aService).map(
    [](const VersionedLedger& aHeld) { return aHeld.mLedger; });
}

tl::expected<void, StoreError>
LedgerStore::Write(const ServiceName& aService,
                   const VersionedLedger& aHeld,
                   const EjectionLedger& aNext)
{
  const auto writer = AttemptId(mBox, mIncarnation, ++mWrites).ToString();
  const auto written = WriteWithReadBack(
    mClient, KeyOf(aService), aHeld.mVersion, EncodeLedger(aNext, writer));
  if (!written) {
    return tl::make_unexpected(written.error());
  }
  return {};
}

PermissionAnswer
LedgerStore::Replace(const ServiceName& aService, const Change& aChange)
{
  for (int i = 0; i < kMaxTries; ++i) {
    const auto held = ReadVersioned(aService);
    if (!held) {
      return PermissionAnswer::kUnavailable;
    }
    const auto next = aChange(held->mLedger);
    if (!next) {
      return PermissionAnswer::kFloor;
    }
    const auto written = Write(aService, *held, *next);
    if (written) {
      return PermissionAnswer::kGranted;
    }
    if (written.error().mKind != StoreErrorKind::kConflict) {
      return PermissionAnswer::kUnavailable;
    }
  }
  return PermissionAnswer::kUnavailable;
}

PermissionAnswer
LedgerStore::Eject(const ServiceName& aService,
                   const LedgerEntry& aEntry,
                   const CapacitySource& aCapacity)
{
  bool heldBefore = false;
  const auto answer = Replace(aService, [&](const EjectionLedger& aLedger) {
    heldBefore = aLedger.Holds(aEntry.mServer, aEntry.mIncarnation);
    return aLedger.WithoutEarlierIncarnations(mBox, mIncarnation)
      .WithEjection(aEntry, aCapacity());
  });
  if (answer != PermissionAnswer::kFloor || !heldBefore) {
    return answer;
  }
  // An earlier write with unknown outcome did take effect, and the floor no
  // longer allows it.
  return Release(aService, aEntry.mServer) ? PermissionAnswer::kFloor
                                           : PermissionAnswer::kUnavailable;
}

bool
LedgerStore::Release(const ServiceName& aService,
                     const BackendServerName& aServer)
{
  return Replace(aService, [&](const EjectionLedger& aLedger) {
           return aLedger.WithoutEarlierIncarnations(mBox, mIncarnation)
             .WithoutServer(aServer);
         }) == PermissionAnswer::kGranted;
}

bool
LedgerStore::RemoveStale(const ServiceName& aService,
                         const std::set<BackendServerName>& aHolding)
{
  const auto held = ReadVersioned(aService);
  if (!held) {
    return false;
  }
  const auto next = held->mLedger.WithoutEarlierIncarnations(mBox, mIncarnation)
                      .WithoutUnheldEntries(mBox, aHolding);
  return next == held->mLedger || Write(aService, *held, next).has_value();
}

} // namespace porttiller
