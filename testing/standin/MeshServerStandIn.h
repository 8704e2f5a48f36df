// A test double of the backend servers that register with the daemon of their
// box: runs requests, signs its responses, answers health checks, sends
// heartbeats and injects faults.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpPool.h"

#include <atomic>
#include <functional>
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
  std::string mAddress;      // listen address
  std::string mAdvertised;   // address sent in heartbeats; empty: mAddress
  std::string mRegistration; // the daemon's registration endpoint
  int mSlots = 4;
  // A request whose target contains this crashes the server; empty: none does.
  std::string mCrashMarker;
  // Called with the request's target when such a request arrives, and again
  // when the process ends under it. The owner must then close all connections.
  std::function<void(const std::string& aTarget)> mOnCrashArrival;
  std::function<void(const std::string& aTarget)> mOnCrash;
  // Start time in ms, sent with each message; null: not sent.
  std::optional<std::int64_t> mStartMs;
};

struct MeshServerFaults
{
  Millis mWork{ 0 };       // processing time of a request
  bool mUnsigned = false;  // responses lack the server's signature
  bool mForeignId = false; // responses carry the id of another request
  bool mFull = false;      // rejects requests with 503 and Not-Executed
  std::string mLimit;      // limit header in each answer; empty: none
  bool mLeaving = false;   // each answer has the leaving header
  // Health checks get 503, as those of a busy server, or 200 from a server that
  // leaves.
  bool mRejectsHealthChecks = false;
  bool mAlwaysHealthy = false;
};

class MeshServerStandIn
{
public:
  explicit MeshServerStandIn(MeshServerOptions aOptions);

  const std::string& Id() const { return mOptions.mId; }
  const MeshServerOptions& Options() const { return mOptions; }
  void Set(const MeshServerFaults& aFaults);
  // Stops listening; the counts of run requests stay readable.
  void Stop() { mListener.reset(); }
  // Sends a heartbeat to its box; true when it was acknowledged.
  bool SendHeartbeat(const std::string& aState = "ready");
  // Sends a heartbeat with an old sequence number, as if it arrived late.
  bool SendLateHeartbeat();
  bool Leave();
  int HealthChecks() const { return mHealthChecks; }
  // Sends a registration call with this body; true when it was acknowledged.
  bool SendOneWay(const std::string& aCall, const std::string& aBody);

  // Called with the id of each request that arrives, run or not.
  void SetOnArrival(std::function<void(const std::string& aId)> aListener);

  int RunsOf(const std::string& aRequestId) const;
  int Runs() const { return mRuns; }
  // Requests whose connection was closed while they ran.
  int Cancelled() const { return mCancelled; }
  std::string LastCallerService() const;
  // The workspace in the latest run of the request; "" for none.
  std::string WorkspaceOf(const std::string& aRequestId) const;
  // The headers of all requests, one per line.
  std::string SeenHeaders() const;

private:
  HttpReply Handle(HttpCall& aCall);
  static std::string ContentFor(const HttpRequestData& aHttp);
  HttpReply AnswerHealthCheck();
  std::string StartField() const;
  std::string HeartbeatBody(const std::string& aState, std::uint64_t aSequence);

  const MeshServerOptions mOptions;
  mutable std::mutex mMutex;
  MeshServerFaults mFaults;
  std::function<void(const std::string&)> mOnArrival;
  std::map<std::string, int> mRunsById;
  std::string mCallerService;
  std::map<std::string, std::string> mWorkspaces; // by request id
  std::string mSeenHeaders;
  std::uint64_t mSequence = 10; // above the number that SendLateHeartbeat sends
  std::atomic<int> mRuns{ 0 };
  std::atomic<int> mCancelled{ 0 };
  std::atomic<int> mHealthChecks{ 0 };
  // It has sent that it drains or leaves.
  std::atomic<bool> mSaidLeaving{ false };
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller::standin
