// Simulates the network between two processes: relays TCP connections, can
// stall one direction, as a one-way network cut does, and can drop all data of
// the open connections, as a NAT or firewall does that has lost their state.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace porttiller::standin {

class LinkStandIn
{
public:
  // Relays from a free loopback port to aTarget ("ip:port").
  explicit LinkStandIn(const std::string& aTarget);
  ~LinkStandIn();
  LinkStandIn(const LinkStandIn&) = delete;
  LinkStandIn& operator=(const LinkStandIn&) = delete;

  std::string Address() const { return mAddress.toString(); }
  // While a direction is cut, its bytes are buffered and no connection is
  // closed; the bytes are delivered when the cut ends.
  void CutForward(bool aCut) { mForwardCut = aCut; }
  void CutBackward(bool aCut) { mBackwardCut = aCut; }
  // Closes every open connection.
  void Reset();
  // While set, the address refuses connections, as after the end of a process.
  // Setting it also closes every open connection.
  void Refuse(bool aRefuse) { mRefuses = aRefuse; }
  // Drops from now on all data of the connections that are open at the time of
  // the call, without a FIN or RST. Connections opened later work.
  void SilenceForward() { mSilentForward = mOpened.load(); }
  void SilenceBackward() { mSilentBackward = mOpened.load(); }
  void Silence(); // both directions

private:
  void Accept();
  void AcceptOne();
  void Listen();
  void Relay(Poco::Net::StreamSocket aClient, int aNumber);
  void RelayUntilEnd(Poco::Net::StreamSocket& aClient, int aNumber);
  bool IsSilent(int aNumber) const;

  Poco::Net::SocketAddress mTarget;
  Poco::Net::SocketAddress mAddress;
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mRefuses{ false };
  std::atomic<bool> mForwardCut{ false };
  std::atomic<bool> mBackwardCut{ false };
  std::atomic<int> mGeneration{ 0 };
  std::atomic<int> mOpened{ 0 }; // number of accepted connections
  // Connections up to and including this number are silent.
  std::atomic<int> mSilentForward{ 0 };
  std::atomic<int> mSilentBackward{ 0 };
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::list<std::thread> mRelays;
  std::thread mAcceptor;
};

} // namespace porttiller::standin
