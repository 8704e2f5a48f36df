#include "soak/Clients.h"

#include <random>

namespace porttiller::soak {

namespace {

constexpr int kDeadlineMs = 1500;
// How long after the deadline a caller still waits for the answer.
constexpr Millis kAnswerSlack{ 3000 };
constexpr int kMaxGapMs = 40;       // between the requests of one caller
constexpr int kExtraRouteOneIn = 6; // one request in this many uses the route

HttpRequestData
MakeHttp(const SentRequest& aRequest)
{
  return { .mMethod = aRequest.mRepeatable ? "GET" : "POST",
           .mTarget = aRequest.mPrefix + "x",
           .mHeaders = { { "Host", "a.example" },
                         { "Request-Id", aRequest.mId },
                         { "Deadline-Ms", std::to_string(kDeadlineMs) } },
           .mBody = aRequest.mBody };
}

} // namespace

Clients::Clients(const fleet::MeshFleet& aFleet,
                 fleet::ThrottleLog& aThrottles,
                 ClientOptions aOptions)
  : mFleet(aFleet)
  , mThrottles(aThrottles)
  , mOptions(aOptions)
{
  for (int i = 0; i < mOptions.mBoxes * mOptions.mPerBox; ++i) {
    mThreads.emplace_back([this, i] { Run(i); });
  }
}

Clients::~Clients()
{
  Stop();
}

void
Clients::AddRoute(const std::string& aPrefix)
{
  const std::lock_guard lock(mMutex);
  mExtraPrefix = aPrefix;
}

std::vector<SentRequest>
Clients::Stop()
{
  mStop = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  return std::move(mRequests);
}

void
Clients::Run(int aClient)
{
  std::mt19937_64 random(mOptions.mSeed * 1000 +
                         static_cast<std::uint64_t>(aClient));
  const int box = aClient % mOptions.mBoxes;
  HttpPool pool({ .mAddress = mFleet.CallerAddress(box) });
  for (int number = 0; !mStop; ++number) {
    SentRequest request{ .mId = "c" + std::to_string(aClient) + "-" +
                                std::to_string(number),
                         .mBox = box,
                         .mRepeatable = random() % 2 == 0 };
    request.mPrefix = request.mRepeatable ? "/safe/" : "/once/";
    if (!request.mRepeatable) {
      request.mBody = "body of " + request.mId;
    }
    {
      const std::lock_guard lock(mMutex);
      if (!mExtraPrefix.empty() && random() % kExtraRouteOneIn == 0) {
        request.mRepeatable = true;
        request.mPrefix = mExtraPrefix;
        request.mBody.clear();
      }
    }
    mThrottles.OnSent(request.mId, box);
    request.mSentAt = Now();
    request.mReply = fleet::SendTo(
      pool, MakeHttp(request), Millis(kDeadlineMs) + kAnswerSlack);
    request.mEndedAt = Now();
    mThrottles.OnReply(box, request.mReply);
    {
      const std::lock_guard lock(mMutex);
      mRequests.push_back(std::move(request));
    }
    std::this_thread::sleep_for(Millis(random() % kMaxGapMs));
  }
}

} // namespace porttiller::soak
