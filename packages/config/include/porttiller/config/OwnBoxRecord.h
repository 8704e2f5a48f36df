// The record of this node's own box: what it says, and who has confirmed to
// keep it. An acknowledgement binds the box beyond its process, so it may be
// given only while another holder has the fact, and a later process must not
// lose it: see docs/design/acknowledgments.md. No I/O; times come in.
#pragma once

#include "porttiller/config/BoxRecord.h"
#include "porttiller/config/Registrar.h"

#include <cstdint>
#include <optional>

namespace porttiller {

// Owned by the directory controller, under its lock.
class OwnBoxRecord
{
public:
  // aWallMicros here and below: Unix time in microseconds. It only lets the
  // revisions of a later process exceed those of an earlier one that it has not
  // learned of yet; no fact depends on it.
  OwnBoxRecord(BoxSpec aBox,
               Incarnation aIncarnation,
               std::uint64_t aWallMicros);

  const BoxRecord& Record() const { return mRecord; }
  std::optional<ServerRecord> Unconfirmed() const
  {
    return mRegistrar.Unconfirmed();
  }

  // Whether this is the server of the box, confirmed or not.
  bool Knows(const BackendServerName& aServer) const;

  RegistrarVerdict Take(const ServerMessage& aMessage,
                        std::uint64_t aWallMicros);
  // See Registrar::Confirm.
  bool Confirm(const ServerIncarnation& aServer, std::uint64_t aWallMicros);
  // Takes over what a record of this box says that another holder has kept: one
  // of an earlier process, or one of this process that a peer has joined with
  // it. Returns true if the own record has changed.
  bool Learn(const BoxRecord& aHeld, std::uint64_t aWallMicros);
  // Marks the box as leaving. This alone need not reach the store, as the next
  // process writes a record of its own; what else was not written still does.
  void Leave(std::uint64_t aWallMicros);

  // The store or peers have confirmed that they hold this revision.
  void OnStored(std::uint64_t aRevision);
  void OnHeldByPeers(std::uint64_t aRevision);
  // Whether the store holds the newest revision.
  bool IsStored() const { return mStored >= mRecord.mRevision; }
  std::uint64_t StoredRevision() const { return mStored; }
  // Whether another holder has confirmed the state of the server.
  bool IsStateHeld() const;

private:
  // Publishes the registrar's server under a new revision.
  void Change(std::uint64_t aWallMicros);

  Registrar mRegistrar;
  BoxRecord mRecord;
  std::uint64_t mStored = 0;
  std::uint64_t mHeldByPeers = 0;
  std::uint64_t mStateChanged = 0; // revision of the server's state
};

} // namespace porttiller
