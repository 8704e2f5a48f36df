// Bounds the bytes of message bodies that one part of a process holds.
#pragma once

#include "porttiller/core/Time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace porttiller {

// Bodies up to this size never wait behind larger ones and have a reserve that
// larger ones cannot take, in bytes.
inline constexpr std::size_t kSmallBodyBytes = 64 << 10;

// Reservations that find no room form a line and are served in its order. Must
// be held by a shared pointer, as bodies outlive the connections that read
// them. Thread-safe.
class BodyBudget
{
public:
  // aBytes: 0 is unlimited.
  explicit BodyBudget(std::size_t aBytes);

  // The largest body that can be admitted, in bytes.
  std::size_t MaxBody() const;
  std::size_t Reserved() const;
  // Reservations in the line.
  std::size_t Waiting() const;
  // Calls aListener when a reservation in the line may find room. It must not
  // block, and must not call this object. An empty function ends that.
  void NotifyRoom(std::function<void()> aListener);

private:
  friend class BodyReservation;
  using Ticket = std::uint64_t; // the place in the line; 0: none

  bool Take(std::size_t aMore, std::size_t aTotal);
  // Joins the line if there is no room.
  bool TakeOrQueue(std::size_t aBytes, Ticket& aTicket);
  bool TakeLocked(std::size_t aMore, std::size_t aTotal, Ticket& aTicket);
  bool AwaitTake(std::size_t aBytes, Ticket& aTicket, TimePoint aUntil);
  void Return(std::size_t aBytes);
  void LeaveLine(Ticket aTicket);
  void NotifyLocked();

  const std::size_t mBytes;
  mutable std::mutex mMutex;
  std::condition_variable mRoom;
  std::function<void()> mListener;
  std::size_t mReserved = 0;
  std::set<Ticket> mLine;
  Ticket mLastTicket = 0;
};

// The bytes that one body has reserved. Returns them when it is destroyed. Not
// thread-safe.
class BodyReservation
{
public:
  BodyReservation() = default; // without a budget: always granted
  explicit BodyReservation(std::shared_ptr<BodyBudget> aBudget);
  ~BodyReservation();
  BodyReservation(BodyReservation&& aOther) noexcept;
  BodyReservation& operator=(BodyReservation&& aOther) noexcept;
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  std::size_t Bytes() const { return mBytes; }
  // Whether a body of this size can ever be admitted.
  bool IsPossible(std::size_t aBytes) const;
  // Reserves aBytes, of which none are reserved yet. Where there is no room
  // now, returns false and keeps a place in the line for the next call.
  bool Reserve(std::size_t aBytes);
  // As Reserve, but waits for room.
  bool AwaitReserve(std::size_t aBytes, TimePoint aUntil);
  // Adds aMore bytes. Never waits, as a body that holds room must not wait for
  // others that do.
  bool Grow(std::size_t aMore);
  // Whether another reservation waits for room.
  bool OthersWait() const;
  void Release();

private:
  std::shared_ptr<BodyBudget> mBudget;
  std::size_t mBytes = 0;
  BodyBudget::Ticket mTicket = 0;
};

} // namespace porttiller
