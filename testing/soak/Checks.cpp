#include "soak/Checks.h"

#include <algorithm>
#include <map>

namespace porttiller::soak {

namespace {

// Requests sent later than this after the acknowledgement of draining must not
// reach the server.
constexpr Millis kDrainBound{ 2000 };
// How long after an outage a box may take to start and its callers to
// reconnect.
constexpr Millis kRestartSlack{ 1500 };
// The users' bounds on a request that crashes servers.
constexpr std::size_t kCrashes = 3;
constexpr Millis kContactTime{ 3000 };
constexpr std::ptrdiff_t kMaxLateArrivals = 3;

// Whether a status means that the request did not run and never will.
bool
IsNotRunStatus(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

std::string
Describe(const char* aGuarantee,
         const SentRequest& aRequest,
         const std::string& aDetail)
{
  return std::string(aGuarantee) + ": " + aRequest.mId + " at box " +
         std::to_string(aRequest.mBox) + ", status " +
         std::to_string(aRequest.mReply.mStatus) + ": " + aDetail;
}

class RequestChecker
{
public:
  RequestChecker(const fleet::MeshFleet& aFleet,
                 const Observations& aObservations)
    : mFleet(aFleet)
    , mObservations(aObservations)
  {
  }

  std::vector<std::string> Run()
  {
    for (const auto& request : mObservations.mRequests) {
      CheckAnswer(request);
      CheckRuns(request);
      CheckDrains(request);
    }
    CheckRoutes();
    CheckCrashes();
    return std::move(mViolations);
  }

private:
  void CheckAnswer(const SentRequest& aRequest)
  {
    const auto& reply = aRequest.mReply;
    if (reply.mStatus / 100 == 2) {
      const bool complete =
        HeaderValue(reply.mHeaders, "Response-Signature") ==
          "s." + aRequest.mId &&
        reply.mBody.ends_with("|" + aRequest.mId + "|" + aRequest.mBody);
      if (!complete) {
        mViolations.push_back(
          Describe("complete answer", aRequest, reply.mBody));
      }
    }
    const bool knownRoute =
      aRequest.mPrefix == "/safe/" || aRequest.mPrefix == "/once/";
    if (reply.mStatus == 404 && knownRoute) {
      mViolations.push_back(Describe("known route", aRequest, "answered 404"));
    }
  }

  void CheckRuns(const SentRequest& aRequest)
  {
    if (aRequest.mRepeatable) {
      return;
    }
    const int runs = mFleet.RunsOf(aRequest.mId);
    const int status = aRequest.mReply.mStatus;
    if (runs > 1) {
      mViolations.push_back(
        Describe("at most once", aRequest, "runs: " + std::to_string(runs)));
    }
    if (runs > 0 && IsNotRunStatus(status)) {
      mViolations.push_back(Describe("not run", aRequest, "rejected but ran"));
    }
    if (runs > 0 && status == 0 && !HadOutage(aRequest)) {
      mViolations.push_back(
        Describe("answer delivered", aRequest, "ran without an answer"));
    }
  }

  void CheckDrains(const SentRequest& aRequest)
  {
    for (const auto& ack : mObservations.mAcks) {
      if (aRequest.mSentAt > ack.mAt + kDrainBound &&
          ack.mServer->RunsOf(aRequest.mId) > 0) {
        mViolations.push_back(
          Describe("draining", aRequest, "ran at " + ack.mServer->Id()));
      }
    }
  }

  // Once a box has served a route that a change added, it must not answer 404
  // for it in the same incarnation.
  void CheckRoutes()
  {
    std::map<int, TimePoint> served; // first answer by box
    for (const auto& request : mObservations.mRequests) {
      if (request.mPrefix == "/extra/" && request.mReply.mStatus == 200) {
        served.try_emplace(request.mBox, request.mEndedAt);
      }
    }
    for (const auto& request : mObservations.mRequests) {
      const auto it = served.find(request.mBox);
      if (request.mPrefix == "/extra/" && request.mReply.mStatus == 404 &&
          it != served.end() && request.mSentAt > it->second &&
          !HadOutageBetween(request.mBox, it->second, request.mEndedAt)) {
        mViolations.push_back(Describe(
          "no older configuration", request, "answered 404 after 200"));
      }
    }
  }

  // After a request has crashed three servers and kContactTime has passed, few
  // of its repeats reach servers.
  void CheckCrashes()
  {
    for (const auto& [target, record] : mObservations.mCrashes) {
      if (record.mCrashes.size() < kCrashes) {
        continue;
      }
      const auto bound = record.mCrashes[kCrashes - 1] + kContactTime;
      const auto late =
        std::count_if(record.mArrivals.begin(),
                      record.mArrivals.end(),
                      [&](TimePoint aAt) { return aAt > bound; });
      if (late > kMaxLateArrivals) {
        mViolations.push_back("crashing request: " + target + " reached " +
                              std::to_string(late) + " servers late");
      }
    }
  }

  bool HadOutageBetween(int aBox, TimePoint aFrom, TimePoint aUntil) const
  {
    const auto& outages = mObservations.mOutages;
    return std::any_of(
      outages.begin(), outages.end(), [&](const BoxOutage& aOutage) {
        return aOutage.mBox == aBox && aOutage.mBegin <= aUntil &&
               aOutage.mEnd + kRestartSlack >= aFrom;
      });
  }

  bool HadOutage(const SentRequest& aRequest) const
  {
    return HadOutageBetween(aRequest.mBox, aRequest.mSentAt, aRequest.mEndedAt);
  }

  const fleet::MeshFleet& mFleet;
  const Observations& mObservations;
  std::vector<std::string> mViolations;
};

} // namespace

std::vector<std::string>
FindViolations(const fleet::MeshFleet& aFleet,
               const Observations& aObservations)
{
  return RequestChecker(aFleet, aObservations).Run();
}

} // namespace porttiller::soak
