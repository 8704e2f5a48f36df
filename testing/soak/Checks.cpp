#include "soak/Checks.h"

#include <algorithm>
#include <map>

namespace porttiller::soak {

namespace {

// Nothing reaches a server so long after the acknowledgement of its draining.
constexpr Millis kDrainBound{ 2000 };
// After a disturbance, until the box has started and been found by its callers.
constexpr Millis kAftermath{ 1500 };

// A status that says the request did not run and never will.
bool
SaysNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

std::string
Line(const char* aPromise, const SentRequest& aRequest, const std::string& aWhy)
{
  return std::string(aPromise) + ": " + aRequest.mId + " at box " +
         std::to_string(aRequest.mBox) + ", status " +
         std::to_string(aRequest.mReply.mStatus) + ": " + aWhy;
}

class Judge
{
public:
  Judge(const fleet::MeshFleet& aFleet, const Evidence& aEvidence)
    : mFleet(aFleet)
    , mEvidence(aEvidence)
  {
  }

  std::vector<std::string> Run()
  {
    for (const auto& request : mEvidence.mRequests) {
      CheckAnswer(request);
      CheckRuns(request);
      CheckDrains(request);
    }
    CheckRoutes();
    return std::move(mBroken);
  }

private:
  void CheckAnswer(const SentRequest& aRequest)
  {
    const auto& reply = aRequest.mReply;
    if (reply.mStatus / 100 == 2) {
      const bool whole =
        HeaderValue(reply.mHeaders, "Response-Signature") ==
          "s." + aRequest.mId &&
        reply.mBody.ends_with("|" + aRequest.mId + "|" + aRequest.mBody);
      if (!whole) {
        mBroken.push_back(Line("whole answer", aRequest, reply.mBody));
      }
    }
    const bool known =
      aRequest.mPrefix == "/safe/" || aRequest.mPrefix == "/once/";
    if (reply.mStatus == 404 && known) {
      mBroken.push_back(Line("route in force", aRequest, "denied"));
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
      mBroken.push_back(
        Line("at most once", aRequest, "ran " + std::to_string(runs)));
    }
    if (runs > 0 && SaysNotRun(status)) {
      mBroken.push_back(Line("not run", aRequest, "it ran"));
    }
    if (runs > 0 && status == 0 && !Disturbed(aRequest)) {
      mBroken.push_back(Line("an answer", aRequest, "it ran and got none"));
    }
  }

  void CheckDrains(const SentRequest& aRequest)
  {
    for (const auto& ack : mEvidence.mAcks) {
      if (aRequest.mSentAt > ack.mAt + kDrainBound &&
          ack.mServer->RunsOf(aRequest.mId) > 0) {
        mBroken.push_back(
          Line("draining", aRequest, "ran at " + ack.mServer->Id()));
      }
    }
  }

  // Once a box has served a route that a change added, it never denies it in
  // the same life.
  void CheckRoutes()
  {
    std::map<int, TimePoint> served; // by box: from when on
    for (const auto& request : mEvidence.mRequests) {
      if (request.mPrefix == "/extra/" && request.mReply.mStatus == 200) {
        served.try_emplace(request.mBox, request.mEndedAt);
      }
    }
    for (const auto& request : mEvidence.mRequests) {
      const auto it = served.find(request.mBox);
      if (request.mPrefix == "/extra/" && request.mReply.mStatus == 404 &&
          it != served.end() && request.mSentAt > it->second &&
          !DisturbedSince(request.mBox, it->second, request.mEndedAt)) {
        mBroken.push_back(Line("no way back", request, "denied after served"));
      }
    }
  }

  bool DisturbedSince(int aBox, TimePoint aFrom, TimePoint aUntil) const
  {
    const auto& all = mEvidence.mDisturbances;
    return std::any_of(all.begin(), all.end(), [&](const Disturbance& aOne) {
      return aOne.mBox == aBox && aOne.mBegin <= aUntil &&
             aOne.mEnd + kAftermath >= aFrom;
    });
  }

  bool Disturbed(const SentRequest& aRequest) const
  {
    return DisturbedSince(aRequest.mBox, aRequest.mSentAt, aRequest.mEndedAt);
  }

  const fleet::MeshFleet& mFleet;
  const Evidence& mEvidence;
  std::vector<std::string> mBroken;
};

} // namespace

std::vector<std::string>
BrokenPromises(const fleet::MeshFleet& aFleet, const Evidence& aEvidence)
{
  return Judge(aFleet, aEvidence).Run();
}

} // namespace porttiller::soak
