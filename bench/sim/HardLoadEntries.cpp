// The entries of HardLoadFleet.
#include "sim/HardLoadPriv.h"

#include "porttiller/policy/Balancer.h"

namespace porttiller::bench {

namespace {

constexpr Millis kTarget{ 3000 };
constexpr double kRepeatableShare = 0.6;
constexpr Micros kHop{ 2'000 };
// More traffic, after the start.
constexpr Micros kSurgeFrom{ 22'000'000 };
constexpr Micros kSurgeUntil{ 27'000'000 };

} // namespace

void
HardLoadFleet::Arrive()
{
  const bool repeatable = Uniform() < kRepeatableShare;
  const auto number = ++mNext;
  const auto it = mRequests
                    .emplace(number,
                             Request{ .mPlan = AttemptPlan(repeatable),
                                      .mRepeatable = repeatable,
                                      .mDeadline = mNow + kTimeLimit })
                    .first;
  ++mOutcome.mRequests;
  mOutcome.mUnrepeatable += repeatable ? 0 : 1;
  At(it->second.mDeadline, [this, number] {
    const auto request = mRequests.find(number);
    if (request != mRequests.end()) {
      Finish(request, false);
    }
  });
  SendNext(it);
  double rate = mOptions.mRequestsPerS * static_cast<double>(mServers.size());
  rate *= Within(mNow, kSurgeFrom, kSurgeUntil) ? 2.0 : 1.0;
  const auto next = mNow + Exponential(Micros(static_cast<int>(1e6 / rate)));
  if (next < kStart + mOptions.mLength) {
    At(next, [this] { Arrive(); });
  }
}

std::optional<std::size_t>
HardLoadFleet::Choose(const AttemptPlan& aPlan, bool aTrial)
{
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    const auto& server = *mServers[i];
    const bool allowed = !server.mKnownDemoted || aPlan.LastResort();
    Candidate candidate{ .mSlots = kSlots,
                         .mTrialDue =
                           server.mKnownDemoted && mNow >= server.mNextTrial };
    const auto usable =
      mNow < server.mAvoidUntil ? Eligibility::kAvoid : Eligibility::kOpen;
    candidate.mReportedLoad =
      static_cast<double>(server.mQueue.Running() + server.mQueue.Waiting()) /
      kSlots;
    candidate.mEligibility = !aPlan.MayUse(NameOf(i)) ? Eligibility::kExcluded
                             : allowed                ? usable
                                                      : Eligibility::kDemoted;
    candidates.push_back(candidate);
  }
  const auto trial = aTrial ? ChooseTrial(candidates, mRandom()) : std::nullopt;
  if (trial) {
    mServers[*trial]->mNextTrial =
      mNow + CircuitBreakerOptions().mTrialInterval;
  }
  return trial ? trial : ChooseServer(candidates, {}, mRandom(), mRandom());
}

void
HardLoadFleet::SendNext(RequestIt aRequest)
{
  auto& plan = aRequest->second.mPlan;
  while (plan.MayAttempt()) {
    const bool canFailOver = plan.MayFailOverNext() && Uniform() < 0.5;
    if (const auto server = Choose(plan, canFailOver)) {
      Send(aRequest, *server, canFailOver);
      return;
    }
    if (!plan.AllowLastResort(true)) {
      break;
    }
  }
  if (aRequest->second.mAttempts.empty()) {
    Finish(aRequest, false);
  }
}

void
HardLoadFleet::Send(RequestIt aRequest, std::size_t aServer, bool aCanFailOver)
{
  auto& [number, request] = *aRequest;
  const auto ticket = ++mNext;
  HomeRequest sent{ .mAttempt =
                      AttemptId(BoxName("entry"), Incarnation(1), ticket),
                    .mRepeatable = request.mRepeatable,
                    .mCanFailOver = aCanFailOver,
                    .mLastResort = request.mPlan.LastResort(),
                    .mIsRetry = request.mPlan.MayHaveReachedServer(),
                    .mIsHedge = !request.mAttempts.empty(),
                    .mDeadline = request.mDeadline,
                    .mRoute = kRoute };
  if (mOptions.mLongRules) {
    sent.mLongTarget = kTarget;
  }
  request.mPlan.OnSent(NameOf(aServer));
  request.mAttempts.insert(ticket);
  mAttempts[ticket] = { .mRequestNumber = number,
                        .mServer = aServer,
                        .mRequest = std::move(sent) };
  At(mNow + kHop, [this, ticket] { ArriveAtHome(ticket); });
  const auto usual = mServers[aServer]->mTimes.LatencyP90(kRoute);
  if (request.mRepeatable && usual > Micros(0)) {
    const auto id = number;
    At(mNow + usual, [this, id] { Hedge(id); });
  }
}

void
HardLoadFleet::Hedge(std::uint64_t aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it != mRequests.end() && it->second.mAttempts.size() == 1 &&
      it->second.mPlan.MayHedge(UnlimitedRetries)) {
    if (const auto server = Choose(it->second.mPlan, false)) {
      Send(it, *server, false);
    }
  }
}

// Cancels the attempts that have not ended.
void
HardLoadFleet::Finish(RequestIt aRequest, bool aServed)
{
  const auto request = std::move(mRequests.extract(aRequest).mapped());
  mOutcome.mServed += aServed ? 1 : 0;
  const bool unknown =
    request.mPlan.OutcomeWithoutAnswer() == Outcome::kUnknown;
  mOutcome.mLost += !aServed && !request.mRepeatable && unknown ? 1 : 0;
  for (const auto ticket : request.mAttempts) {
    const auto& attempt = mAttempts.at(ticket);
    if (attempt.mRuns) {
      End(ticket, kTimedOut);
    } else {
      mServers[attempt.mServer]->mQueue.Cancel(ticket);
      mAttempts.erase(ticket);
    }
  }
}

} // namespace porttiller::bench
