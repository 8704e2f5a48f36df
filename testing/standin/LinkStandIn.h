// Stands in for the network between two processes: relays TCP connections and
// can silently stop one direction, as a one-way cut does, or drop what is sent
// over the open connections, as a device on the path does that forgets them.
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

  std::string Address() const { return mListener.address().toString(); }
  // While cut, bytes of that direction are held and nothing is closed; they
  // arrive late once the cut ends.
  void CutForward(bool aCut) { mForwardCut = aCut; }
  void CutBackward(bool aCut) { mBackwardCut = aCut; }
  // Ends every open connection.
  void Reset();
  // Drops what is sent over the connections that are open now, for good and
  // without an end or a reset. Later ones work.
  void SilenceForward() { mSilentForward = mOpened.load(); }
  void SilenceBackward() { mSilentBackward = mOpened.load(); }
  void Silence(); // both ways

private:
  void Accept();
  void Relay(Poco::Net::StreamSocket aClient, int aNumber);
  void RelayUntilEnd(Poco::Net::StreamSocket& aClient, int aNumber);
  bool IsSilent(int aNumber) const;

  Poco::Net::SocketAddress mTarget;
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mForwardCut{ false };
  std::atomic<bool> mBackwardCut{ false };
  std::atomic<int> mGeneration{ 0 };
  std::atomic<int> mOpened{ 0 }; // connections so far
  // Connections up to this number.
  std::atomic<int> mSilentForward{ 0 };
  std::atomic<int> mSilentBackward{ 0 };
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::list<std::thread> mRelays;
  std::thread mAcceptor;
};

} // namespace porttiller::standin
