#include "Commands.h"

#include "porttiller/config/Directory.h"
#include "porttiller/config/JsonText.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/LedgerStore.h"
#include "porttiller/control/StatusController.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <iostream>

namespace porttiller::ctl {

namespace {

// What the platform stores about the services.
struct Report
{
  SnapshotPtr mSnapshot;
  std::vector<UnreadableObject> mUnreadable; // of the box records
  std::map<ServiceName, EjectionLedger> mLedgers;
  Poco::JSON::Object::Ptr mFleet; // fleet status; null if none is stored
};

bool
IsEjected(const Report& aReport, const BackendServerSpec& aServer)
{
  const auto it = aReport.mLedgers.find(aServer.mService);
  if (it == aReport.mLedgers.end()) {
    return false;
  }
  const auto& entries = it->second.Entries();
  return std::any_of(
    entries.begin(), entries.end(), [&](const LedgerEntry& aEntry) {
      return aEntry.mServer == aServer.mName;
    });
}

// Whether the list aField of the fleet status contains the box.
bool
IsListed(const Report& aReport, const char* aField, const BoxName& aBox)
{
  const auto boxes =
    aReport.mFleet ? aReport.mFleet->getArray(aField) : nullptr;
  if (!boxes) {
    return false;
  }
  return std::any_of(boxes->begin(), boxes->end(), [&](const auto& aItem) {
    return aItem == aBox.Value();
  });
}

// The server's state, with the reason in parentheses.
std::string
StateOf(const Report& aReport, const BackendServerSpec& aServer)
{
  const auto* box = aReport.mSnapshot->FindBox(aServer.mBox);
  if (box == nullptr) {
    return "unreachable (its box is not listed)";
  }
  if (box->mState == BoxState::kLeaving) {
    return "leaving (its box is)";
  }
  if (aServer.mLeaving) {
    return "leaving (it announced that)";
  }
  if (IsEjected(aReport, aServer)) {
    return "ejected (its home found it failing)";
  }
  if (IsListed(aReport, "boxes_silent", aServer.mBox)) {
    return "unreachable (its box does not answer)";
  }
  return "working";
}

tl::expected<Report, StoreError>
ReadReport(ObjectClient& aClient)
{
  const auto list = aClient.ListConfiguration();
  if (!list) {
    return tl::make_unexpected(list.error());
  }
  ObjectSet objects;
  const auto changed = objects.Apply(*list);
  const auto listed = aClient.List(kBoxRecordKind);
  if (!listed) {
    return tl::make_unexpected(listed.error());
  }
  Report report;
  auto read = ReadBoxRecords(*listed);
  report.mUnreadable = std::move(read.mUnreadable);
  Directory directory;
  for (const auto& record : read.mRecords) {
    directory.Merge(record);
  }
  report.mSnapshot = SnapshotBuilder().Build(
    objects, changed.value_or(std::vector<ObjectKey>()), directory.InUse());
  const auto ledgers = aClient.List(kLedgerKind);
  if (!ledgers) {
    return tl::make_unexpected(ledgers.error());
  }
  for (const auto& object : ledgers->mObjects) {
    if (const auto ledger = DecodeLedger(object.mSpecJson)) {
      report.mLedgers[ServiceName(object.mKey.mName)] = *ledger;
    }
  }
  const auto fleet = aClient.Get({ kStatusKind, kStatusName });
  if (fleet) {
    report.mFleet = ParseJsonObject(fleet->mSpecJson).value_or(nullptr);
  }
  return report;
}

void
PrintUnreadable(const Report& aReport)
{
  for (const auto& object : aReport.mUnreadable) {
    std::cout << "unreadable: " << object.mKind << "/" << object.mName
              << " version " << object.mVersion << " ("
              << ToText(object.mReason) << ")\n";
  }
}

void
PrintFleet(const Report& aReport)
{
  if (!aReport.mFleet) {
    std::cout << "configuration: not yet reported by any box\n";
    return;
  }
  const auto& fleet = *aReport.mFleet;
  std::cout << "configuration: revision "
            << fleet.optValue<std::uint64_t>("accepted_revision", 0)
            << " accepted, in force on "
            << fleet.optValue<int>("boxes_in_force", 0) << " boxes\n";
  for (const char* field : { "boxes_behind", "boxes_silent", "rejected" }) {
    const auto items = fleet.getArray(field);
    if (items && items->size() > 0) {
      std::cout << field << ": ";
      items->stringify(std::cout);
      std::cout << "\n";
    }
  }
}

std::vector<Row>
ServerRows(const Report& aReport, const std::string& aService)
{
  std::vector<Row> rows = {
    { "SERVICE", "SERVER", "BOX", "SLOTS", "STARTED", "STATE" }
  };
  for (const auto& [name, service] : aReport.mSnapshot->mServices) {
    if (!aService.empty() && name.Value() != aService) {
      continue;
    }
    for (const auto& server : service.mServers) {
      rows.push_back({ name.Value(),
                       server.mName.Value(),
                       server.mBox.Value(),
                       std::to_string(server.mSlots),
                       server.mStartMs ? std::to_string(*server.mStartMs) : "-",
                       StateOf(aReport, server) });
    }
  }
  return rows;
}

void
PrintJson(const Report& aReport, const std::vector<Row>& aRows)
{
  Poco::JSON::Array servers;
  for (std::size_t i = 1; i < aRows.size(); ++i) {
    Poco::JSON::Object server(Poco::JSON_PRESERVE_KEY_ORDER);
    server.set("service", aRows[i][0]);
    server.set("server", aRows[i][1]);
    server.set("box", aRows[i][2]);
    server.set("slots", aRows[i][3]);
    server.set("start_ms", aRows[i][4]);
    server.set("state", aRows[i][5]);
    servers.add(server);
  }
  Poco::JSON::Object document;
  document.set("servers", servers);
  if (aReport.mFleet) {
    document.set("fleet", aReport.mFleet);
  }
  std::cout << ToJsonText(document) << "\n";
}

} // namespace

ExitCode
RunStatus(ObjectClient& aClient, const Arguments& aArguments)
{
  const auto service =
    aArguments.mOperands.empty() ? "" : aArguments.mOperands[0];
  const auto report = ReadReport(aClient);
  if (!report) {
    return ReportError("status", report.error());
  }
  if (!service.empty() &&
      report->mSnapshot->FindService(ServiceName(service)) == nullptr) {
    std::cerr << "porttillerctl: no service " << service << "\n";
    return ExitCode::kNotFound;
  }
  const auto rows = ServerRows(*report, service);
  if (aArguments.mFormat == Format::kJson) {
    PrintJson(*report, rows);
  } else {
    PrintFleet(*report);
    PrintUnreadable(*report);
    PrintTable(rows);
  }
  return ExitCode::kOk;
}

} // namespace porttiller::ctl
