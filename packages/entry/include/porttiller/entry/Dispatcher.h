// Sends one attempt to the home of its server and determines its outcome.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/entry/AttemptStatus.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/home/Home.h"
#include "porttiller/hop/ShutdownDeadline.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace porttiller {

// The server ran the attempt; holds its complete answer.
struct AttemptAnswered
{
  HttpAnswer mHttp;
  double mLoad = 0.0;      // of the server, as reported by its home
  Micros mLatencyP90{ 0 }; // 90th percentile of the route; 0: not known
  // Null if the answer is a recorded one.
  std::optional<ServerDemand> mDemand{};
};

// The attempt was not run and never will be.
struct AttemptNotRun
{
  RejectReason mRejectReason = RejectReason::kNone;
  Millis mRetryAfter{ 0 };
  ServerDemand mDemand{};
  bool mSilent = false; // with kDemoted: see HomeAnswer
};

// The attempt may have been run or may still be running.
struct AttemptUnknown
{
  std::string mReason;
  std::optional<CrashEvent> mCrash{}; // the server crashed while it ran
};

using AttemptResult =
  std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>;

// Owned by the node. Thread-safe.
class Dispatcher
{
public:
  Dispatcher(const Settings& aSettings,
             Home& aHome,
             EntryView& aView,
             PeerTransport& aTransport,
             Metrics& aMetrics,
             const ShutdownDeadline& aShutdownDeadline,
             std::shared_ptr<BodyBudget> aAnswerBudget = nullptr);

  // Fills in the incarnation of the home, sends aRequest and waits for the
  // result.
  AttemptResult Send(const BoxSpec& aBox, HomeRequest aRequest);

  // Asks the home for the state of an attempt.
  AttemptStatus Query(const BoxSpec& aBox,
                      Incarnation aHomeIncarnation,
                      const AttemptId& aAttempt,
                      const std::string& aRequestKey);
  // Asks the home to prevent the attempt from running if it has not begun.
  AttemptStatus Revoke(const BoxSpec& aBox,
                       Incarnation aHomeIncarnation,
                       const AttemptId& aAttempt,
                       const std::string& aRequestKey);

private:
  AttemptStatus SendQuery(const BoxSpec& aBox, wire::Envelope aQuery);
  HttpPool& PoolOf(const BoxSpec& aBox);
  AttemptResult SendLocal(const HomeRequest& aRequest);
  AttemptResult SendRemote(const BoxSpec& aBox, const HomeRequest& aRequest);
  AttemptResult AwaitAnswer(const BoxSpec& aBox,
                            const HomeRequest& aRequest,
                            HttpExchange& aExchange);
  bool WaitReadable(const HomeRequest& aRequest,
                    HttpExchange& aExchange,
                    TimePoint aUntil) const;
  AttemptResult ReadHomeAnswer(const BoxSpec& aBox,
                               const HomeRequest& aRequest,
                               HttpExchange& aExchange);
  // After the answer was lost or is late: revokes the attempt to learn whether
  // it ran.
  AttemptResult ResolveOutcome(const BoxSpec& aBox,
                               const HomeRequest& aRequest,
                               const std::string& aReason);

  const Settings& mSettings;
  Home& mHome;
  EntryView& mView;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  const ShutdownDeadline& mShutdownDeadline;
  const std::shared_ptr<BodyBudget> mAnswerBudget; // of homes; may be null
  std::mutex mPoolsMutex;
  std::map<std::string, std::unique_ptr<HttpPool>> mPools; // by address
};

} // namespace porttiller
