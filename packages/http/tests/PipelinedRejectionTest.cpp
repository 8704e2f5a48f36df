// A listener that rejects input beside requests that run, crossed with what the
// client does next.
#include "porttiller/http/HttpListener.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22952";
constexpr int kMaxWorkMs = 8;
constexpr int kReadSeconds = 10;
constexpr const char* kStillOpen = "(still open)";
constexpr int kSlowOneIn = 16;
constexpr Millis kIdleClose{ 100 };
// Longer than the listener takes to close an idle connection.
constexpr Millis kIdleTime{ 700 };
// More than the socket buffers take.
constexpr std::size_t kLargeAnswer = 1 << 20;
constexpr std::size_t kUnsentBudget = 256 << 10;

// What a client sends. All but the first two are rejected.
enum class Input
{
  kGet,
  kPost,
  kManyFields,
  kLongField,
  kLongBody,
  kLongChunks,
  kMalformed,
  kUnfinished // until the read timeout
};

constexpr std::array kInputs = { Input::kGet,        Input::kPost,
                                 Input::kManyFields, Input::kLongField,
                                 Input::kLongBody,   Input::kLongChunks,
                                 Input::kMalformed };

// What the client does after its last byte.
enum class After
{
  kReads,
  kLeaves,
  kResets,
  kHalfCloses,
  kSendsOn,
  kStopsReading, // for a while
  kLimitsChange,
  kListenerStops
};

constexpr std::array kAfters = { After::kReads,       After::kLeaves,
                                 After::kResets,      After::kHalfCloses,
                                 After::kSendsOn,     After::kStopsReading,
                                 After::kLimitsChange };

bool
IsRequest(Input aInput)
{
  return aInput == Input::kGet || aInput == Input::kPost;
}

std::string
BytesOf(Input aInput, const std::string& aTarget)
{
  std::string get = "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n";
  const std::string post = "POST " + aTarget + " HTTP/1.1\r\nHost: a\r\n";
  std::string fields;
  switch (aInput) {
    case Input::kGet:
      return get + "\r\n";
    case Input::kPost:
      return post + "Content-Length: 3\r\n\r\nabc";
    case Input::kManyFields:
      for (int i = 0; i < 20; ++i) {
        fields += "F: 1\r\n";
      }
      return get + fields + "\r\n";
    case Input::kLongField:
      return get + "F: " + std::string(500, 'x') + "\r\n\r\n";
    case Input::kLongBody:
      return post + "Content-Length: 99\r\n\r\n" + std::string(99, 'x');
    case Input::kLongChunks:
      return post + "Transfer-Encoding: chunked\r\n\r\n40\r\n" +
             std::string(64, 'x') + "\r\n0\r\n\r\n";
    case Input::kMalformed:
      return "what\r\n\r\n";
    case Input::kUnfinished:
      break;
  }
  return get;
}

// Runs requests for the time that their target names, and notes which ran.
class Handler
{
public:
  explicit Handler(std::size_t aAnswerBytes = 0)
    : mPadding(aAnswerBytes, '.')
  {
  }

  HttpReply Serve(HttpCall& aCall)
  {
    const auto& target = aCall.mHttp.mTarget;
    {
      const std::lock_guard lock(mMutex);
      mRan.insert(target);
    }
    const int work = std::stoi(target.substr(target.rfind('/') + 1));
    for (int i = 0; i < work && !aCall.mCancelled->IsCancelled(); ++i) {
      std::this_thread::sleep_for(Millis(1));
    }
    return { .mAnswer = { .mStatus = 200, .mBody = target + mPadding } };
  }

  bool HasRun(const std::string& aTarget)
  {
    const std::lock_guard lock(mMutex);
    return mRan.contains(aTarget);
  }

private:
  const std::string mPadding;
  std::mutex mMutex;
  std::set<std::string> mRan;
};

constexpr MessageLimits kLimits = { .mMaxHeaders = 10,
                                    .mMaxHeaderBytes = 300,
                                    .mMaxBodyBytes = 20 };
constexpr Millis kReadTimeout{ 1 };

struct Setup
{
  int mWorkers = 0;
  std::size_t mUnsentBudget = 0; // also: answers are large
};

std::unique_ptr<HttpListener>
Listen(Handler& aHandler, const Setup& aSetup)
{
  auto made =
    HttpListener::Make({ .mAddress = kAddress,
                         .mWorkers = aSetup.mWorkers,
                         .mLimits = kLimits,
                         .mIdleClose = kIdleClose,
                         .mReadTimeout = kReadTimeout,
                         .mUnsentBudget = aSetup.mUnsentBudget },
                       [&](HttpCall& aCall) { return aHandler.Serve(aCall); });
  REQUIRE(made);
  return std::move(*made);
}

Poco::Net::StreamSocket
Connect()
{
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(kAddress));
  socket.setReceiveTimeout(Poco::Timespan(kReadSeconds, 0));
  return socket;
}

// Sends what the peer still takes.
void
Send(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
{
  try {
    aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  } catch (const Poco::Exception&) {
    return; // closed by the listener
  }
}

void
HalfClose(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return; // closed by the listener
  }
}

// The bytes up to the end of the connection.
std::string
ReadAll(Poco::Net::StreamSocket& aSocket)
{
  std::string text;
  std::array<char, 4096> buffer{};
  try {
    int size = 0;
    while ((size = aSocket.receiveBytes(buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
  } catch (const Poco::TimeoutException&) {
    text += kStillOpen;
  } catch (const Poco::Exception&) {
    return text; // reset
  }
  return text;
}

struct Plan
{
  std::vector<Input> mInputs;
  std::vector<std::string> mTargets;
  std::size_t mRequests = 0; // before the first rejected input
  bool mIdles = false;       // before the first rejected input
  After mAfter = After::kReads;
};

// For draws that take long. At full size, as small sizes, with which rapidcheck
// begins, draw nearly always 0.
bool
DrawSlow()
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, kSlowOneIn)) ==
         0;
}

Plan
DrawPlan(const std::string& aName)
{
  Plan plan;
  const auto requests = *rc::gen::inRange(0, 4);
  for (int i = 0; i < requests; ++i) {
    plan.mInputs.push_back(*rc::gen::element(Input::kGet, Input::kPost));
  }
  for (int i = 0; i < 2; ++i) {
    // The timeout is checked in sweeps, which takes long.
    const bool slow = DrawSlow();
    plan.mInputs.push_back(slow ? Input::kUnfinished
                                : *rc::gen::elementOf(kInputs));
  }
  plan.mAfter =
    DrawSlow() ? After::kListenerStops : *rc::gen::elementOf(kAfters);
  if (std::all_of(plan.mInputs.begin(), plan.mInputs.end(), IsRequest)) {
    plan.mInputs.push_back(Input::kMalformed);
  }
  for (std::size_t i = 0; i < plan.mInputs.size(); ++i) {
    plan.mTargets.push_back("/" + aName + "-" + std::to_string(i) + "/" +
                            std::to_string(*rc::gen::inRange(0, kMaxWorkMs)));
  }
  while (IsRequest(plan.mInputs[plan.mRequests])) {
    ++plan.mRequests;
  }
  plan.mIdles = DrawSlow();
  return plan;
}

// Each answer of a request that runs holds its target. Checks their order, and
// that nothing behind the rejected input ran. A client that reads all gets the
// answer of each request that ran; these are all requests, except that a
// listener with a budget for unread answers may reject some.
void
CheckAnswers(const Plan& aPlan,
             const Setup& aSetup,
             const std::string& aText,
             Handler& aHandler)
{
  const bool readsAll = aPlan.mAfter == After::kReads ||
                        aPlan.mAfter == After::kStopsReading ||
                        aPlan.mAfter == After::kLimitsChange;
  std::size_t at = 0;
  bool ended = false;
  for (std::size_t i = 0; i < aPlan.mInputs.size(); ++i) {
    const auto& target = aPlan.mTargets[i];
    if (i >= aPlan.mRequests) {
      RC_ASSERT(aText.find("\r\n\r\n" + target) == std::string::npos);
      RC_ASSERT(!aHandler.HasRun(target));
      continue;
    }
    const auto found = aText.find("\r\n\r\n" + target, at);
    const bool answered = found != std::string::npos;
    RC_ASSERT(!answered || !ended || aSetup.mUnsentBudget > 0);
    RC_ASSERT(answered || !readsAll || !aHandler.HasRun(target));
    ended = ended || !answered;
    at = answered ? found : at;
  }
  RC_ASSERT(!aText.ends_with(kStillOpen));
  RC_ASSERT(!readsAll || !ended || aSetup.mUnsentBudget > 0);
}

void
Act(Poco::Net::StreamSocket& aSocket, After aAfter, HttpListener& aListener)
{
  switch (aAfter) {
    case After::kLeaves:
      aSocket.close();
      break;
    case After::kResets:
      aSocket.setLinger(true, 0);
      aSocket.close();
      break;
    case After::kHalfCloses:
      HalfClose(aSocket);
      break;
    case After::kSendsOn:
      Send(aSocket, BytesOf(Input::kGet, "/late/0"));
      break;
    case After::kLimitsChange:
      aListener.SetLimits(kLimits, kReadTimeout, kIdleClose);
      break;
    case After::kStopsReading:
      std::this_thread::sleep_for(Millis(*rc::gen::inRange(0, kMaxWorkMs)));
      break;
    case After::kListenerStops: // see PlayOne
    case After::kReads:
      break;
  }
}

void
PlayOne(Handler& aHandler,
        const Setup& aSetup,
        const std::string& aName,
        std::unique_ptr<HttpListener>& aListener)
{
  if (!aListener) {
    aListener = Listen(aHandler, aSetup);
  }
  const auto plan = DrawPlan(aName);
  auto socket = Connect();
  for (std::size_t i = 0; i < plan.mInputs.size(); ++i) {
    if (plan.mIdles && i == plan.mRequests) {
      std::this_thread::sleep_for(kIdleTime);
    }
    Send(socket, BytesOf(plan.mInputs[i], plan.mTargets[i]));
    std::this_thread::sleep_for(Millis(*rc::gen::inRange(0, 2)));
  }
  Act(socket, plan.mAfter, *aListener);
  // Beside the client, which reads on: a stop waits for unread answers.
  std::future<void> stop;
  if (plan.mAfter == After::kListenerStops) {
    stop = std::async(std::launch::async, [&] { aListener.reset(); });
  }
  const bool left =
    plan.mAfter == After::kLeaves || plan.mAfter == After::kResets;
  const auto text = left ? std::string() : ReadAll(socket);
  socket.close();
  if (stop.valid()) {
    stop.wait();
  }
  CheckAnswers(plan, aSetup, text, aHandler);
}

} // namespace

// A rejected request was queued without a cancellation flag; a client that left
// while it waited for its turn ended the process.
TEST_CASE("A client that leaves beside a rejected request ends no process")
{
  Handler handler;
  const auto listener = Listen(handler, { .mWorkers = 4 });
  for (const auto input : { Input::kManyFields,
                            Input::kLongField,
                            Input::kLongBody,
                            Input::kLongChunks,
                            Input::kMalformed }) {
    CAPTURE(static_cast<int>(input));
    const auto target = "/a" + std::to_string(static_cast<int>(input));
    auto socket = Connect();
    Send(socket,
         BytesOf(Input::kGet, target + "/100") + BytesOf(input, target + "/0"));
    while (!handler.HasRun(target + "/100")) {
      std::this_thread::sleep_for(Millis(1));
    }
    socket.close();
    auto next = Connect();
    Send(next, BytesOf(Input::kGet, target + "b/0"));
    next.shutdownSend();
    ReadAll(next);
    while (!handler.HasRun(target + "b/0")) {
      std::this_thread::sleep_for(Millis(1));
    }
  }
}

TEST_CASE("Requests beside a rejected one are answered in order or not at all")
{
  for (const auto setup :
       { Setup{ .mWorkers = 0 },
         Setup{ .mWorkers = 6 },
         Setup{ .mWorkers = 0, .mUnsentBudget = kUnsentBudget },
         Setup{ .mWorkers = 6, .mUnsentBudget = kUnsentBudget } }) {
    CAPTURE(setup.mWorkers);
    CAPTURE(setup.mUnsentBudget);
    Handler handler(setup.mUnsentBudget > 0 ? kLargeAnswer : 0);
    std::unique_ptr<HttpListener> listener;
    int plays = 0;
    CHECK(rc::check(
      [&] { PlayOne(handler, setup, std::to_string(++plays), listener); }));
  }
}
