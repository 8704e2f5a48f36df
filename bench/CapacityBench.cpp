// Unit costs for docs/CAPACITY.md: memory per object, time per message and per
// change, and control traffic by the number of boxes. CapacityBench [quick]
#include "Figure.h"
#include "fleet/Fleet.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/control/ControlCodec.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/policy/AttemptRegistry.h"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace porttiller;
using namespace porttiller::bench;

constexpr int kPortBase = 25000;
constexpr int kTargetServices = 250;
constexpr int kTargetServers = 12'000;
constexpr int kTargetRoutes = 4'900;
constexpr int kTargetBoxes = 1'300;
constexpr double kQuickSeconds = 3.0;
constexpr double kFullSeconds = 12.0;

void
PrintFigure(const std::string& aMeasure,
            const std::string& aScenario,
            double aValue,
            const std::string& aUnit)
{
  Print({ aMeasure, aScenario, "porttiller", aValue, aUnit });
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
Seconds(const std::function<void()>& aWork)
{
  const auto start = Now();
  aWork();
  return std::chrono::duration<double>(Now() - start).count();
}

// Builds a configuration delta; each added object gets the next revision.
class DeltaBuilder
{
public:
  void Add(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
  {
    mDelta.mObjects.push_back({ .mKey = { aKind, aName },
                                .mVersion = ++mDelta.mTo,
                                .mDeleted = false,
                                .mSpecJson = aSpec });
  }

  void AddServices(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Add("Service",
          "service-" + std::to_string(i),
          R"({"floor_slots":200,"detection":"fast"})");
    }
  }

  void AddBoxes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const auto ip =
        "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250);
      Add("Box",
          "box-" + std::to_string(i),
          R"({"zone":"zone-)" + std::to_string(i % 27) +
            R"(","home_address":")" + ip + R"(:8081","control_address":")" +
            ip + R"(:8082"})");
    }
  }

  void AddServers(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Add("BackendServer",
          "server-" + std::to_string(i),
          R"({"service":"service-)" + std::to_string(i % kTargetServices) +
            R"(","box":"box-)" + std::to_string(i % kTargetBoxes) +
            R"(","address":"127.0.0.1:9000","slots":9})");
    }
  }

  void AddRoutes(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Add("Route",
          "route-" + std::to_string(i),
          R"({"path_prefix":"/workspace-)" + std::to_string(i) +
            R"(/api","service":"service-)" +
            std::to_string(i % kTargetServices) + "\"}");
    }
  }

  ObjectDelta mDelta;
};

// A configuration as a daemon holds it: the objects and the typed snapshot.
struct LoadedConfiguration
{
  explicit LoadedConfiguration(const ObjectDelta& aDelta)
  {
    mSnapshot = mBuilder.Build(mObjects, *mObjects.Apply(aDelta));
  }

  ObjectSet mObjects;
  SnapshotBuilder mBuilder;
  SnapshotPtr mSnapshot;
};

double
BytesEach(const ObjectDelta& aDelta, int aCount)
{
  const double before = HeapBytes();
  const LoadedConfiguration loaded(aDelta);
  return (HeapBytes() - before) / aCount;
}

void
MeasureObjects()
{
  DeltaBuilder services;
  services.AddServices(kTargetServices);
  PrintFigure("heap_per_service",
              "250 services",
              BytesEach(services.mDelta, kTargetServices),
              "bytes");
  DeltaBuilder boxes;
  boxes.AddBoxes(kTargetBoxes);
  PrintFigure("heap_per_box",
              "1300 boxes",
              BytesEach(boxes.mDelta, kTargetBoxes),
              "bytes");
  DeltaBuilder servers;
  servers.AddServices(kTargetServices);
  servers.AddServers(kTargetServers);
  PrintFigure("heap_per_server",
              "12000 servers",
              BytesEach(servers.mDelta, kTargetServers),
              "bytes");
  DeltaBuilder routes;
  routes.AddServices(kTargetServices);
  routes.AddRoutes(kTargetRoutes);
  PrintFigure("heap_per_route",
              "4900 routes",
              BytesEach(routes.mDelta, kTargetRoutes),
              "bytes");
}

void
MeasureTargetConfiguration()
{
  DeltaBuilder store;
  store.AddServices(kTargetServices);
  store.AddBoxes(kTargetBoxes);
  store.AddServers(kTargetServers);
  store.AddRoutes(kTargetRoutes);
  const double before = HeapBytes();
  LoadedConfiguration loaded(store.mDelta);
  PrintFigure(
    "heap_configuration", "target", (HeapBytes() - before) / (1 << 20), "MB");
  std::string wire;
  const double encode = Seconds(
    [&] { wire = EncodeDelta(loaded.mObjects.Since(0)).SerializeAsString(); });
  PrintFigure("full_delta_bytes",
              "target",
              static_cast<double>(wire.size()) / (1 << 20),
              "MB");
  PrintFigure("full_delta_encode", "target", encode * 1e3, "ms");

  DeltaBuilder change;
  change.mDelta.mTo = loaded.mObjects.Revision();
  change.Add("Service", "service-1", R"({"floor_slots":100})");
  change.mDelta.mFrom = loaded.mObjects.Revision();
  const double one = Seconds([&] {
    loaded.mSnapshot = loaded.mBuilder.Build(
      loaded.mObjects, *loaded.mObjects.Apply(change.mDelta));
  });
  PrintFigure("one_change", "target", one * 1e3, "ms");
  constexpr int kLookups = 200'000;
  const double lookups = Seconds([&] {
    for (int i = 0; i < kLookups; ++i) {
      loaded.mSnapshot->mRoutes.Find(
        "",
        "GET",
        "/workspace-" + std::to_string(i % kTargetRoutes) + "/api/x/y");
    }
  });
  PrintFigure("route_lookup", "4900 routes", lookups / kLookups * 1e6, "us");
}

void
MeasureAttempts()
{
  constexpr int kRecords = 8192;
  const double before = HeapBytes();
  AttemptRegistry registry;
  const double time = Seconds([&] {
    for (int i = 1; i <= kRecords; ++i) {
      const AttemptId id(BoxName("box-" + std::to_string(i % kTargetBoxes)),
                         Incarnation(1),
                         static_cast<std::uint64_t>(i));
      registry.Admit(id, TimePoint());
      registry.Finish(id, Outcome::kRun, nullptr);
    }
  });
  PrintFigure("heap_per_attempt_record",
              "1300 entries",
              (HeapBytes() - before) / kRecords,
              "bytes");
  PrintFigure(
    "attempt_admit_finish", "1300 entries", time / kRecords * 1e6, "us");
}

void
MeasureMessages()
{
  constexpr int kMessages = 5000;
  const auto server = PeerTransport::Make(
    { .mBindAddress = "127.0.0.1:25901", .mBox = BoxName("server") },
    [](const wire::Envelope&, const PeerReplier& aReply) {
      wire::Envelope reply;
      reply.mutable_ack();
      aReply(reply);
    });
  const auto client = PeerTransport::Make(
    { .mBindAddress = "127.0.0.1:25902", .mBox = BoxName("client") },
    [](const wire::Envelope&, const PeerReplier&) {});
  wire::Envelope probe;
  probe.mutable_probe()->set_revision(1);
  const auto cpu = std::clock();
  for (int i = 0; i < kMessages; ++i) {
    static_cast<void>((*client)->Call("127.0.0.1:25901", probe, Millis(1000)));
  }
  const double seconds =
    static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  PrintFigure("processor_per_message",
              "request and reply, each side",
              seconds / kMessages / 2 * 1e6,
              "us");
}

// Processor time and resident memory of a process.
struct ProcessUse
{
  double mSeconds = 0.0; // user and system time
  double mResidentMb = 0.0;
};

ProcessUse
UseOf(pid_t aProcess)
{
  ProcessUse use;
  std::ifstream stat("/proc/" + std::to_string(aProcess) + "/stat");
  std::string word;
  for (int field = 1; field <= 24 && stat >> word; ++field) {
    if (field == 14 || field == 15) {
      use.mSeconds +=
        std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    } else if (field == 24) {
      use.mResidentMb = std::stod(word) *
                        static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
    }
  }
  return use;
}

// Control traffic, processor time and memory of an idle daemon, and the time
// until a change is in force on all boxes.
void
MeasureFleet(int aBoxes, double aSeconds)
{
  fleet::Fleet boxes({ .mBoxes = aBoxes, .mZones = 3, .mPortBase = kPortBase });
  std::this_thread::sleep_for(Millis(4000)); // until membership has settled
  const auto bytes = [&] {
    return boxes.Metric(0, "porttiller_control_sent_bytes") +
           boxes.Metric(0, "porttiller_control_received_bytes");
  };
  const double bytesBefore = bytes();
  const auto useBefore = UseOf(boxes.BoxProcess(0));
  const double seconds = Seconds([&] {
    std::this_thread::sleep_for(
      Millis(static_cast<std::int64_t>(aSeconds * 1000)));
  });
  const auto use = UseOf(boxes.BoxProcess(0));
  const auto scenario = std::to_string(aBoxes) + " boxes";
  PrintFigure(
    "control_traffic", scenario, (bytes() - bytesBefore) / seconds, "bytes/s");
  PrintFigure("control_processor",
              scenario,
              100.0 * (use.mSeconds - useBefore.mSeconds) / seconds,
              "% of a core");
  PrintFigure("resident", scenario, use.mResidentMb, "MB");
  const double spread = Seconds([&] {
    boxes.Put("Service", "ledger", R"({"floor_slots":1})");
    for (int box = 0; box < aBoxes; ++box) {
      boxes.WaitInForce(box, Millis(10'000));
    }
  });
  PrintFigure("change_in_force_everywhere", scenario, spread * 1e3, "ms");
}

} // namespace

int
main(int aCount, char**)
{
  const bool quick = aCount > 1;
  MeasureObjects();
  MeasureTargetConfiguration();
  MeasureAttempts();
  MeasureMessages();
  for (const int boxes : { 3, 6, 12, 24 }) {
    if (!quick || boxes <= 6) {
      MeasureFleet(boxes, quick ? kQuickSeconds : kFullSeconds);
    }
  }
  return 0;
}
