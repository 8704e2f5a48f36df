// Stands in for a backend server on the users' machines: runs requests, signs
// its answers, sends heartbeats to its box, drains, leaves, and misbehaves.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpPool.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace porttiller::standin {

struct MeshServerOptions
{
  std::string mId;
  std::string mService;
  std::string mAddress;      // where it listens
  std::string mAdvertised;   // where others reach it; empty: as mAddress
  std::string mRegistration; // where it tells about itself
  int mSlots = 4;
  // Sent with each message; null: not sent.
  std::optional<std::int64_t> mStartMs;
};

struct MeshServerFaults
{
  Millis mWork{ 0 };
  bool mUnsigned = false;  // answers without the server's signature
  bool mForeignId = false; // answers that belong to another request
  bool mFull = false;      // refuses, and says that it did not run
};

class MeshServerStandIn
{
public:
  explicit MeshServerStandIn(MeshServerOptions aOptions);

  const std::string& Id() const { return mOptions.mId; }
  const MeshServerOptions& Options() const { return mOptions; }
  void Set(const MeshServerFaults& aFaults);
  // Ends, as a server that has left; what it ran stays known.
  void Stop() { mListener.reset(); }
  // Tells its box about itself; true when that was acknowledged.
  bool Beat(const std::string& aState = "ready");
  // As Beat, with an earlier sequence number: a message that comes late.
  bool BeatLate();
  bool Leave();
  // Sends any call with any body; true when it was acknowledged.
  bool Tell(const std::string& aCall, const std::string& aBody);

  int RunsOf(const std::string& aRequestId) const;
  int Runs() const { return mRuns; }
  // Requests whose connection ended while they ran.
  int Cancelled() const { return mCancelled; }
  std::string LastCallerService() const;
  // The workspace that the request named when it ran last; "" for none.
  std::string WorkspaceOf(const std::string& aRequestId) const;
  // The headers of every request, one a line.
  std::string SeenHeaders() const;

private:
  HttpReply Handle(HttpCall& aCall);
  std::string StartField() const;
  std::string BeatBody(const std::string& aState, std::uint64_t aSequence);

  const MeshServerOptions mOptions;
  mutable std::mutex mMutex;
  MeshServerFaults mFaults;
  std::map<std::string, int> mRunsById;
  std::string mCallerService;
  std::map<std::string, std::string> mWorkspaces; // by request
  std::string mSeenHeaders;
  std::uint64_t mSequence = 10;
  std::atomic<int> mRuns{ 0 };
  std::atomic<int> mCancelled{ 0 };
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller::standin
