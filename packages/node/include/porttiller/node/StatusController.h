// Writes the fleet's status to the platform: which configuration is accepted,
// what was rejected and why, and which boxes are behind. One box does it, the
// one that the rendezvous hash names; a second one would only waste a write.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/node/ConfigController.h"
#include "porttiller/node/MembershipController.h"
#include "porttiller/node/Worker.h"
#include "porttiller/platform/ObjectClient.h"

#include <memory>
#include <string>

namespace porttiller {

inline constexpr const char* kStatusKind = "FleetStatus";
inline constexpr const char* kStatusName = "fleet";

// Owned by the node.
class StatusController
{
public:
  StatusController(const Settings& aSettings,
                   const ConfigController& aConfig,
                   const MembershipController& aMembership,
                   PeerTransport& aTransport,
                   Metrics& aMetrics);

  void Start();
  void Stop();

private:
  void Tick();
  bool IsWriter() const;
  std::string Collect(const Snapshot& aSnapshot);
  // The revision in force at a box; 0 when it does not answer.
  std::uint64_t RevisionAt(const BoxSpec& aBox);

  const Settings& mSettings;
  const ConfigController& mConfig;
  const MembershipController& mMembership;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  ObjectClient mClient;
  std::string mWritten;
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
