// The bound on message bodies, alone and in a listener.
#include "porttiller/http/BodyBudget.h"
#include "porttiller/http/Body.h"
#include "porttiller/http/HttpListener.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <rapidcheck.h>
#include <thread>
#include <vector>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22954";
constexpr std::size_t kLarge = 200 << 10; // bytes of a body
// Room for one large body, but not for two.
constexpr std::size_t kBudget = 320 << 10;
// More than the kernel takes for a client that does not read.
constexpr std::size_t kUnreadBytes = 32 << 20;
constexpr int kPolls = 1000; // of 10 ms

template<typename Condition>
bool
WaitFor(const Condition& aCondition)
{
  for (int i = 0; i < kPolls; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(10));
  }
  return aCondition();
}

class Client
{
public:
  Client()
  {
    mSocket.connect(Poco::Net::SocketAddress(kAddress));
    mSocket.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  // Sends what the listener takes.
  void Send(const std::string& aBytes)
  {
    try {
      std::size_t sent = 0;
      while (sent < aBytes.size()) {
        sent += static_cast<std::size_t>(mSocket.sendBytes(
          aBytes.data() + sent, static_cast<int>(aBytes.size() - sent)));
      }
    } catch (const Poco::Exception&) {
      return;
    }
  }

  void Post(std::size_t aBytes)
  {
    Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'x'));
  }

  void Reset()
  {
    mSocket.setLinger(true, 0);
    mSocket.close();
  }

  // Sends the head for a large body, and its first bytes.
  void BeginPost()
  {
    Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(kLarge) + "\r\n\r\nabc");
  }

  // Whether aText arrives.
  bool Receives(const std::string& aText)
  {
    std::array<char, 4096> buffer{};
    try {
      int size = 1;
      while (mText.find(aText) == std::string::npos && size > 0) {
        size = mSocket.receiveBytes(buffer.data(), buffer.size());
        mText.append(buffer.data(), static_cast<std::size_t>(size));
      }
    } catch (const Poco::Exception&) {
      return false;
    }
    return mText.find(aText) != std::string::npos;
  }

  // Whether an answer arrives soon.
  bool HasAnswer()
  {
    constexpr int kWaitMicros = 50'000;
    return mSocket.poll(Poco::Timespan(0, kWaitMicros),
                        Poco::Net::Socket::SELECT_READ);
  }

  // The status of the next answer; 0 if there is none.
  int Status()
  {
    std::array<char, 4096> buffer{};
    try {
      while (mText.find("\r\n") == std::string::npos) {
        const int size = mSocket.receiveBytes(buffer.data(), buffer.size());
        if (size <= 0) {
          return 0;
        }
        mText.append(buffer.data(), static_cast<std::size_t>(size));
      }
    } catch (const Poco::Exception&) {
      return 0;
    }
    return std::stoi(mText.substr(sizeof("HTTP/1.1")));
  }

private:
  Poco::Net::StreamSocket mSocket;
  std::string mText;
};

// Answers large requests once it is opened.
class Listening
{
public:
  explicit Listening(HttpListenerOptions aOptions = {})
  {
    aOptions.mAddress = kAddress;
    aOptions.mWorkers = 8;
    aOptions.mBodyBudget = mBudget;
    auto made = HttpListener::Make(aOptions, [this](HttpCall& aCall) {
      if (aCall.mHttp.mBody.Size() > kSmallBodyBytes) {
        ++mRunning;
        WaitFor([&] { return mOpen || aCall.mCancelled->IsCancelled(); });
      }
      const bool large = aCall.mHttp.mTarget == "/large";
      ++mServed;
      return HttpReply{ .mAnswer = { .mStatus = 200,
                                     .mBody = std::string(
                                       large ? kUnreadBytes : 0, 'x') } };
    });
    REQUIRE(made);
    mListener = std::move(*made);
  }

  const std::shared_ptr<BodyBudget> mBudget =
    std::make_shared<BodyBudget>(kBudget);
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mServed{ 0 };
  std::atomic<bool> mOpen{ false };

private:
  std::unique_ptr<HttpListener> mListener;
};

// A client whose large body runs, and leaves room for no other.
Client
PostUntilRunning(const Listening& aListening)
{
  Client client;
  client.Post(kLarge);
  REQUIRE(WaitFor([&] { return aListening.mRunning == 1; }));
  return client;
}

} // namespace

TEST_CASE("Reservations stay within the budget and are served in order")
{
  CHECK(rc::check([] {
    constexpr std::size_t kLimit = 1 << 20;
    constexpr int kBodies = 6;
    const auto budget = std::make_shared<BodyBudget>(kLimit);
    struct Waiting
    {
      BodyReservation mReservation;
      std::size_t mBytes = 0;
      int mSince = 0; // 0: does not wait
    };
    std::vector<Waiting> bodies(kBodies);
    for (int step = 1; step < 200; ++step) {
      auto& body = bodies[*rc::gen::inRange<std::size_t>(0, kBodies)];
      if (body.mReservation.Bytes() > 0 && *rc::gen::arbitrary<bool>()) {
        body.mReservation.Grow(*rc::gen::inRange<std::size_t>(1, kLimit));
      } else if (body.mReservation.Bytes() > 0 ||
                 *rc::gen::inRange(0, 8) == 0) {
        body = {};
      } else {
        if (body.mSince == 0) {
          body.mReservation = BodyReservation(budget);
          body.mBytes = *rc::gen::inRange<std::size_t>(1, budget->MaxBody());
        }
        const bool granted = body.mReservation.Reserve(body.mBytes);
        for (const auto& other : bodies) {
          const bool overtaken =
            granted && body.mBytes > kSmallBodyBytes && other.mSince > 0 &&
            &other != &body && (body.mSince == 0 || other.mSince < body.mSince);
          RC_ASSERT(!overtaken);
        }
        body.mSince = granted ? 0 : body.mSince == 0 ? step : body.mSince;
      }
      std::size_t sum = 0;
      std::size_t waiting = 0;
      for (const auto& other : bodies) {
        sum += other.mReservation.Bytes();
        waiting += other.mSince > 0 ? 1 : 0;
      }
      RC_ASSERT(budget->Reserved() == sum);
      RC_ASSERT(sum <= kLimit);
      RC_ASSERT(budget->Waiting() == waiting);
    }
    bodies.clear();
    RC_ASSERT(budget->Reserved() == 0U);
    BodyReservation last(budget);
    RC_ASSERT(last.Reserve(budget->MaxBody()));
  }));
}

TEST_CASE("Large bodies leave room for small ones")
{
  const auto budget = std::make_shared<BodyBudget>(kBudget);
  BodyReservation large(budget);
  REQUIRE(large.Reserve(budget->MaxBody()));
  BodyReservation waiting(budget);
  CHECK(!waiting.Reserve(kSmallBodyBytes + 1));
  BodyReservation small(budget);
  CHECK(small.Reserve(kBudget - budget->MaxBody()));
}

TEST_CASE("A body is held once, and counts until its last copy is gone")
{
  const auto budget = std::make_shared<BodyBudget>(kBudget);
  BodyBuffer buffer(budget);
  REQUIRE(buffer.Reservation().Reserve(kLarge));
  REQUIRE(buffer.Append(std::string(kLarge, 'x')));
  auto body = std::make_unique<Body>(buffer.Take());
  const Body copy = *body;
  CHECK(copy.View().data() == body->View().data());
  body.reset();
  CHECK(budget->Reserved() == kLarge);
  CHECK(copy.View() == std::string(kLarge, 'x'));
  copy.ReleaseReservation();
  CHECK(budget->Reserved() == 0);
}

TEST_CASE("A body without room waits unread, and runs once there is room")
{
  Listening listening({ .mRoomTimeout = Millis(60'000) });
  Client first = PostUntilRunning(listening);
  Client second;
  auto sent = std::async(std::launch::async, [&] { second.Post(kLarge); });
  CHECK(WaitFor([&] { return listening.mBudget->Waiting() == 1; }));
  Client small;
  small.Post(100);
  CHECK(small.Status() == 200);
  CHECK(listening.mRunning == 1);
  CHECK(listening.mBudget->Reserved() <= kBudget);
  listening.mOpen = true;
  CHECK(first.Status() == 200);
  CHECK(second.Status() == 200);
  sent.get();
}

TEST_CASE("A body that finds no room in time is rejected before it runs")
{
  Listening listening({ .mRoomTimeout = Millis(100) });
  Client first = PostUntilRunning(listening);
  SUBCASE("with a length")
  {
    Client second;
    second.Post(kLarge);
    CHECK(second.Status() == 503);
  }
  SUBCASE("in chunks, which never wait while they hold room")
  {
    Client second;
    std::string chunks;
    for (int i = 0; i < 20; ++i) {
      chunks += "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    }
    second.Send("POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                chunks + "0\r\n\r\n");
    CHECK(second.Status() == 503);
  }
  SUBCASE("at once if it can never have room")
  {
    Client second;
    second.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n");
    CHECK(second.Status() == 503);
  }
  CHECK(listening.mRunning == 1);
  listening.mOpen = true;
  CHECK(first.Status() == 200);
  CHECK(WaitFor([&] { return listening.mBudget->Reserved() == 0; }));
}

TEST_CASE("A slow sender loses its room to others that wait for it")
{
  Listening listening(
    { .mRoomTimeout = Millis(60'000), .mBodyRateGrace = Millis(100) });
  listening.mOpen = true;
  Client slow;
  slow.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
            std::to_string(kLarge) + "\r\n\r\n");
  REQUIRE(WaitFor([&] { return listening.mBudget->Reserved() == kLarge; }));
  Client other;
  other.Post(kLarge);
  CHECK(slow.Status() == 408);
  CHECK(other.Status() == 200);
}

// Its place in the line was kept until its answers were read.
TEST_CASE("A slow reader does not hold up the bodies of others")
{
  Listening listening(
    { .mUnreadTimeout = Millis(60'000), .mRoomTimeout = Millis(100) });
  Client first = PostUntilRunning(listening);
  Client slow;
  slow.Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  slow.BeginPost();
  REQUIRE(WaitFor([&] { return listening.mBudget->Waiting() == 1; }));
  CHECK(WaitFor([&] { return listening.mBudget->Waiting() == 0; }));
  listening.mOpen = true;
  CHECK(first.Status() == 200);
}

TEST_CASE("A client that leaves returns the room of its unfinished body")
{
  Listening listening({ .mRoomTimeout = Millis(60'000) });
  {
    Client leaving;
    leaving.BeginPost();
    REQUIRE(WaitFor([&] { return listening.mBudget->Reserved() == kLarge; }));
  }
  CHECK(WaitFor([&] { return listening.mBudget->Reserved() == 0; }));
}

// The reset was noticed only when the body had room; meanwhile the I/O thread
// polled without a pause, as the socket was always ready.
TEST_CASE("A client that resets its connection leaves the line for room")
{
  Listening listening({ .mRoomTimeout = Millis(60'000) });
  Client first = PostUntilRunning(listening);
  Client second;
  second.BeginPost();
  REQUIRE(WaitFor([&] { return listening.mBudget->Waiting() == 1; }));
  second.Reset();
  CHECK(WaitFor([&] { return listening.mBudget->Waiting() == 0; }));
  CHECK(listening.mServed == 0);
  listening.mOpen = true;
  CHECK(first.Status() == 200);
}

// Two answers that wait for each other: the first one needs the room of the
// second one, which cannot be sent before it.
TEST_CASE("An answer behind another one gives its room to bodies that wait")
{
  const auto answers = std::make_shared<BodyBudget>(kBudget);
  std::atomic<bool> open{ false };
  const auto listener = HttpListener::Make(
    { .mAddress = kAddress, .mWorkers = 4, .mUnsentBudget = 1 << 10 },
    [&](HttpCall& aCall) {
      HttpReply reply{ .mAnswer = { .mStatus = 200 } };
      if (aCall.mHttp.mTarget == "/large") {
        BodyBuffer buffer(answers);
        buffer.Append(std::string(kLarge, 'x'));
        reply.mAnswer.mBody = buffer.Take();
      } else {
        WaitFor([&] { return open || aCall.mCancelled->IsCancelled(); });
      }
      return reply;
    });
  REQUIRE(listener);
  Client client;
  client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(WaitFor([&] { return answers->Reserved() >= kLarge; }));
  BodyReservation other(answers);
  CHECK(!other.Reserve(kLarge));
  CHECK(WaitFor([&] { return other.Reserve(kLarge); }));
  open = true;
  CHECK(client.Status() == 200);
  CHECK(client.Receives("answer-no-memory"));
}

// What the system holds of unread bodies counts as memory of the process.
TEST_CASE("The line for room is bounded, and the rest rejected at once")
{
  constexpr std::size_t kMaxWaiting = 64;
  constexpr std::size_t kClients = kMaxWaiting + 6;
  Listening listening({ .mRoomTimeout = Millis(60'000) });
  Client first = PostUntilRunning(listening);
  std::vector<Client> waiting(kClients);
  for (auto& client : waiting) {
    client.BeginPost();
  }
  CHECK(WaitFor([&] { return listening.mBudget->Waiting() == kMaxWaiting; }));
  int rejected = 0;
  for (auto& client : waiting) {
    rejected += client.HasAnswer() ? 1 : 0;
  }
  CHECK(rejected == static_cast<int>(kClients - kMaxWaiting));
  CHECK(listening.mBudget->Waiting() == kMaxWaiting);
}
