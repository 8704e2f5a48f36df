// Watches the circuit breakers and the demands of this box's servers, and
// notifies the boxes that send to them of changes; receives the same
// notifications from other homes.
#pragma once

#include "porttiller/config/Snapshot.h"
#include "porttiller/control/Worker.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/home/Home.h"
#include "porttiller/peer/PeerTransport.h"

#include <functional>
#include <memory>

namespace porttiller {

// Called when the answers of a server of this box say that it is leaving, once
// or more often.
using ServerLeavingListener = std::function<void(const ServerIncarnation&)>;

// Owned by the node. Thread-safe.
class ServerUpdateController
{
public:
  ServerUpdateController(const Settings& aSettings,
                         Home& aHome,
                         EntryView& aView,
                         PeerTransport& aTransport,
                         std::function<SnapshotPtr()> aSnapshot,
                         ServerLeavingListener aOnServerLeaving);

  void Start();
  void Stop();

  // From another home.
  void OnServerUpdate(const wire::ServerNews& aMessage);

private:
  void Tick();
  void Notify(const ServerStateUpdate& aUpdate);

  const Settings& mSettings;
  Home& mHome;
  EntryView& mView;
  PeerTransport& mTransport;
  const std::function<SnapshotPtr()> mSnapshot;
  const ServerLeavingListener mOnServerLeaving;
  std::unique_ptr<Ticker> mTicker;
};

} // namespace porttiller
