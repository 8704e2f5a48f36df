// Sends one attempt to the home of its server and finds out what became of it.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/config/Snapshot.h"
#include "porttiller/entry/EntryView.h"
#include "porttiller/home/Home.h"
#include "porttiller/hop/Cutoff.h"
#include "porttiller/peer/PeerTransport.h"
#include "porttiller/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace porttiller {

// The server ran it; this is its whole answer.
struct AttemptAnswered
{
  HttpAnswer mHttp;
  double mLoad = 0.0;     // of the server, as its home reports it
  Micros mUsualTime{ 0 }; // nine in ten requests like it take no longer
};

// It was not run and will not be.
struct AttemptNotRun
{
  Refusal mRefusal = Refusal::kNone;
  Millis mRetryAfter{ 0 };
};

// It may have been run, or may be running.
struct AttemptUnknown
{
  std::string mReason;
};

using AttemptResult =
  std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>;

// What became of an earlier attempt, told by its home.
struct AttemptFate
{
  AttemptState mState = AttemptState::kForgotten;
  Outcome mOutcome = Outcome::kUnknown;
  RecordedAnswerPtr mAnswer;
};

// Owned by the node. Thread-safe.
class Dispatcher
{
public:
  Dispatcher(const Settings& aSettings,
             Home& aHome,
             EntryView& aView,
             PeerTransport& aTransport,
             Metrics& aMetrics,
             const Cutoff& aCutoff);

  // Sends aRequest, filling in its home's incarnation, and waits for what
  // becomes of it.
  AttemptResult Send(const BoxSpec& aBox, HomeRequest aRequest);

  // Asks the home what became of an attempt.
  AttemptFate Query(const BoxSpec& aBox,
                    Incarnation aNamed,
                    const AttemptId& aAttempt,
                    const std::string& aRequestKey);
  // Asks the home to make sure that the attempt never runs.
  AttemptFate Revoke(const BoxSpec& aBox,
                     Incarnation aNamed,
                     const AttemptId& aAttempt,
                     const std::string& aRequestKey);

private:
  AttemptFate Ask(const BoxSpec& aBox, wire::Envelope aQuestion);
  HttpPool& PoolOf(const BoxSpec& aBox);
  AttemptResult SendLocal(const HomeRequest& aRequest);
  AttemptResult SendRemote(const BoxSpec& aBox, const HomeRequest& aRequest);
  AttemptResult Await(const BoxSpec& aBox,
                      const HomeRequest& aRequest,
                      HttpExchange& aExchange);
  bool WaitReadable(const HomeRequest& aRequest,
                    HttpExchange& aExchange,
                    TimePoint aUntil) const;
  AttemptResult Read(const BoxSpec& aBox,
                     const HomeRequest& aRequest,
                     HttpExchange& aExchange);
  AttemptResult Settle(const BoxSpec& aBox,
                       const HomeRequest& aRequest,
                       const std::string& aReason);

  const Settings& mSettings;
  Home& mHome;
  EntryView& mView;
  PeerTransport& mTransport;
  Metrics& mMetrics;
  const Cutoff& mCutoff;
  std::mutex mPoolsMutex;
  std::map<std::string, std::unique_ptr<HttpPool>> mPools; // by address
};

} // namespace porttiller
