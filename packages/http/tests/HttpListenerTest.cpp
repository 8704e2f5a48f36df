// HttpListener over real sockets: order of answers, disconnects, draining and
// limits.
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpPool.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22950";

// A handler that blocks each request until its target is opened.
class Gate
{
public:
  HttpReply Handle(HttpCall& aCall)
  {
    std::unique_lock lock(mMutex);
    ++mArrived;
    mChanged.notify_all();
    mChanged.wait(lock, [&] {
      return mOpen.contains(aCall.mHttp.mTarget) ||
             aCall.mCancelled->IsCancelled();
    });
    mCancelled = mCancelled || aCall.mCancelled->IsCancelled();
    return { .mAnswer = { .mStatus = 200, .mBody = aCall.mHttp.mTarget } };
  }

  void Open(const std::string& aTarget)
  {
    const std::lock_guard lock(mMutex);
    mOpen.insert(aTarget);
    mChanged.notify_all();
  }

  bool WaitArrived(int aCount)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(
      lock, std::chrono::seconds(10), [&] { return mArrived >= aCount; });
  }

  // Polls the cancel flags every 10 ms, aPolls times at most.
  bool WaitCancelled(int aPolls = 1000)
  {
    std::unique_lock lock(mMutex);
    for (int i = 0; i < aPolls && !mCancelled; ++i) {
      mChanged.notify_all();
      mChanged.wait_for(lock, std::chrono::milliseconds(10));
    }
    return mCancelled;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<std::string> mOpen;
  int mArrived = 0;
  bool mCancelled = false;
};

std::unique_ptr<HttpListener>
Listen(Gate& aGate, HttpListenerOptions aOptions = {})
{
  aOptions.mAddress = kAddress;
  auto made = HttpListener::Make(
    aOptions, [&aGate](HttpCall& aCall) { return aGate.Handle(aCall); });
  REQUIRE(made);
  return std::move(*made);
}

class Client
{
public:
  // aReceiveBuffer: bytes that the kernel accepts before the client reads; 0
  // for the default.
  explicit Client(int aReceiveBuffer = 0)
  {
    mSocket.init(AF_INET);
    if (aReceiveBuffer > 0) {
      mSocket.setReceiveBufferSize(aReceiveBuffer);
    }
    mSocket.connect(Poco::Net::SocketAddress(kAddress));
    mSocket.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  void Send(const std::string& aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  // Reads until the text contains aEnd or the connection ends.
  std::string ReadUntil(const std::string& aEnd)
  {
    std::array<char, 4096> buffer{};
    std::size_t searched = 0;
    while (mText.find(aEnd, searched) == std::string::npos) {
      searched = mText.size() - std::min(mText.size(), aEnd.size());
      int size = 0;
      try {
        size = mSocket.receiveBytes(buffer.data(), buffer.size());
      } catch (const Poco::Net::ConnectionResetException&) {
        break;
      }
      if (size <= 0) {
        break;
      }
      mText.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return mText;
  }

  void Clear() { mText.clear(); }
  void Close() { mSocket.close(); }

private:
  Poco::Net::StreamSocket mSocket;
  std::string mText;
};

std::string
Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_CASE("Pipelined requests run concurrently and are answered in order")
{
  Gate gate;
  const auto listener = Listen(gate);
  Client client;
  client.Send(Get("/one") + Get("/two") + Get("/three"));
  REQUIRE(gate.WaitArrived(3));
  gate.Open("/three");
  gate.Open("/two");
  gate.Open("/one");
  const auto text = client.ReadUntil("/three");
  CHECK(text.find("/one") < text.find("/two"));
  CHECK(text.find("/two") < text.find("/three"));
}

TEST_CASE("A request with an unsafe method runs alone")
{
  Gate gate;
  const auto listener = Listen(gate);
  Client client;
  client.Send(Get("/one") +
              "POST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" +
              Get("/three"));
  REQUIRE(gate.WaitArrived(1));
  gate.Open("/two");
  gate.Open("/three");
  CHECK_FALSE(gate.WaitCancelled(5));
  gate.Open("/one");
  const auto text = client.ReadUntil("/three");
  CHECK(text.find("/one") < text.find("/two"));
  CHECK(text.find("/two") < text.find("/three"));
}

TEST_CASE("A caller that disconnects cancels its requests")
{
  Gate gate;
  const auto listener = Listen(gate);
  Client client;
  client.Send(Get("/one"));
  REQUIRE(gate.WaitArrived(1));
  client.Close();
  CHECK(gate.WaitCancelled());
}

TEST_CASE("Draining answers running requests and sends Connection: close")
{
  Gate gate;
  auto listener = Listen(gate);
  Client client;
  Client idle;
  client.Send(Get("/one"));
  REQUIRE(gate.WaitArrived(1));
  listener->BeginDrain();
  std::thread stopper([&] { listener->StopGracefully(); });
  CHECK(idle.ReadUntil("anything").empty());
  gate.Open("/one");
  const auto text = client.ReadUntil("/one");
  CHECK(text.find("Connection: close") != std::string::npos);
  CHECK(text.find("/one") != std::string::npos);
  client.Close();
  stopper.join();
}

TEST_CASE("Draining answers every pipelined request that is running")
{
  // Closing the connection after the first answer would lose the answers of
  // the requests after it, which servers are already running.
  Gate gate;
  auto listener = Listen(gate);
  Client client;
  client.Send(Get("/one") + Get("/two") + Get("/three"));
  REQUIRE(gate.WaitArrived(3));
  gate.Open("/three"); // completes before the drain, is answered after it
  listener->BeginDrain();
  gate.Open("/one");
  gate.Open("/two");
  const auto text = client.ReadUntil("/three");
  CHECK(text.find("/one") < text.find("/two"));
  CHECK(text.find("/two") < text.find("/three"));
  CHECK(text.find("/three") != std::string::npos);
  CHECK(text.find("Connection: close") > text.find("/two"));
  CHECK(text.find("Connection: close") != std::string::npos);
  client.Close();
}

TEST_CASE("Requests after one with Connection: close are not run")
{
  Gate gate;
  const auto listener = Listen(gate);
  Client client;
  client.Send("GET /one HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
              Get("/two"));
  REQUIRE(gate.WaitArrived(1));
  gate.Open("/one");
  gate.Open("/two");
  const auto text = client.ReadUntil("/two");
  CHECK(text.find("/one") != std::string::npos);
  CHECK(text.find("/two") == std::string::npos);
}

TEST_CASE("Slow, oversized and malformed requests get distinct statuses")
{
  Gate gate;
  const auto listener =
    Listen(gate,
           { .mLimits = { .mMaxHeaderBytes = 100, .mMaxBodyBytes = 10 },
             .mReadTimeout = Millis(300) });
  const auto answerTo = [](const std::string& aBytes) {
    Client client;
    client.Send(aBytes);
    return client.ReadUntil("never").substr(0, 12);
  };
  CHECK(answerTo("GET / HT") == "HTTP/1.1 408");
  CHECK(answerTo("what\r\n\r\n") == "HTTP/1.1 400");
  CHECK(answerTo(Get("/" + std::string(200, 'x'))) == "HTTP/1.1 431");
  CHECK(answerTo("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") ==
        "HTTP/1.1 413");
}

// An open connection kept the limits that held when it was accepted, and
// rejected what the limits in force allow.
TEST_CASE("A change of the limits applies to open connections")
{
  const auto listener =
    HttpListener::Make({ .mAddress = kAddress }, [](const HttpCall&) {
      return HttpReply{ .mAnswer = { .mStatus = 200 } };
    });
  REQUIRE(listener);
  const auto setMax = [&](std::size_t aBodyBytes) {
    (*listener)->SetLimits(
      { .mMaxBodyBytes = aBodyBytes }, Millis(10'000), Millis(10'000));
  };
  Client client;
  const auto post = [&](std::size_t aBodyBytes) {
    client.Clear();
    client.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(aBodyBytes) + "\r\n\r\n" +
                std::string(aBodyBytes, 'x'));
    return client.ReadUntil("\r\n\r\n").substr(0, 12);
  };
  setMax(1000);
  CHECK(post(1000) == "HTTP/1.1 200");
  setMax(2000);
  CHECK(post(2000) == "HTTP/1.1 200");
  client.Clear();
  client.Send("POST / HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\n5dc\r\n");
  std::this_thread::sleep_for(Millis(50));
  setMax(1000); // does not apply to a body that has begun
  client.Send(std::string(0x5dc, 'x') + "\r\n0\r\n\r\n");
  CHECK(client.ReadUntil("\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
  CHECK(post(1001) == "HTTP/1.1 413");
}

TEST_CASE("A pool reuses one connection for consecutive requests")
{
  Gate gate;
  const auto listener = Listen(gate);
  gate.Open("/one");
  HttpPool pool({ .mAddress = kAddress });
  for (int i = 0; i < 3; ++i) {
    auto exchange = pool.Begin({ .mMethod = "GET", .mTarget = "/one" },
                               Now() + Millis(10'000));
    REQUIRE(exchange);
    const auto answer = (*exchange)->ReadAnswer(Now() + Millis(10'000));
    REQUIRE(answer);
    CHECK(answer->mBody == "/one");
  }
  CHECK(pool.Opened() == 1);
}

TEST_CASE("Without workers the I/O thread runs the requests in order")
{
  Gate gate;
  gate.Open("/one");
  gate.Open("/two");
  const auto listener = Listen(gate, { .mWorkers = 0 });
  Client client;
  client.Send(Get("/one") + Get("/two"));
  const auto text = client.ReadUntil("\r\n\r\n/two");
  CHECK(text.find("/one") < text.find("/two"));
  Client second;
  second.Send(Get("/one"));
  CHECK(second.ReadUntil("\r\n\r\n/one").find("200") != std::string::npos);
}

namespace {

constexpr int kSmallBufferBytes = 16 << 10;

// Answers each request with a body of aBytes.
std::unique_ptr<HttpListener>
ListenWithBody(std::size_t aBytes, HttpListenerOptions aOptions = {})
{
  aOptions.mAddress = kAddress;
  auto made = HttpListener::Make(aOptions, [aBytes](HttpCall&) {
    return HttpReply{
      .mAnswer = { .mStatus = 200, .mBody = std::string(aBytes, 'x') + "end" }
    };
  });
  REQUIRE(made);
  return std::move(*made);
}

void
Pause()
{
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

} // namespace

// An answer larger than the free send buffer used to end its connection.
TEST_CASE("A reader that pauses receives large answers whole")
{
  for (const std::size_t bytes : { 1 << 20, 20 << 20 }) {
    CAPTURE(bytes);
    const auto listener = ListenWithBody(bytes);
    Client client(kSmallBufferBytes);
    for (int i = 0; i < 2; ++i) { // the connection stays usable
      client.Send(Get("/"));
      Pause();
      CHECK(client.ReadUntil("xend").size() >= bytes);
      client.Clear();
    }
  }
}

// An idle connection is closed at once by a stop, and after mIdleClose; one
// with an answer that is not written out is not idle.
TEST_CASE("An unread answer outlasts the idle time and a planned stop")
{
  constexpr std::size_t kBytes = 8 << 20;
  const auto listener = ListenWithBody(kBytes, { .mIdleClose = Millis(50) });
  Client idle(kSmallBufferBytes);
  Client client(kSmallBufferBytes);
  client.Send(Get("/"));
  CHECK(client.ReadUntil("200 OK").size() < kBytes);
  // Longer than the idle time and an interval between two timeout checks.
  for (int i = 0; i < 3; ++i) {
    Pause();
  }
  CHECK(idle.ReadUntil("anything").empty());
  std::thread stopper([&] { listener->StopGracefully(); });
  Pause();
  CHECK(client.ReadUntil("xend").size() >= kBytes);
  client.Close();
  stopper.join();
}

// Answers that nobody reads would fill the memory of the box.
TEST_CASE("A connection whose answer stays unread is closed")
{
  constexpr std::size_t kBytes = 8 << 20;
  const auto listener =
    ListenWithBody(kBytes, { .mUnreadTimeout = Millis(200) });
  Client client(kSmallBufferBytes);
  client.Send(Get("/"));
  listener->StopGracefully(); // returns as the connection ends
  CHECK(client.ReadUntil("xend").find("xend") == std::string::npos);
}
