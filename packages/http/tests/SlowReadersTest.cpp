// HttpListener with thousands of peers that do not read their answers.
#include "ProcessStatus.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/http/HttpPool.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <thread>

using namespace porttiller;

namespace {

constexpr const char* kAddress = "127.0.0.1:22950";
constexpr int kReaders = 2000;
constexpr int kDescriptorsPerReader = 2; // of the client and of the listener
constexpr int kOtherDescriptors = 100;
constexpr int kWorkers = 64;
constexpr std::size_t kBudgetBytes = 32 << 20;
constexpr std::size_t kMinAnswerBytes = 90 << 10;
constexpr std::size_t kMaxAnswerBytes = 540 << 10;
constexpr Millis kWait{ 60'000 };
constexpr Millis kPoll{ 20 };

// As many slow readers as descriptors allow, kReaders at most.
int
ReaderCount()
{
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlim_t wanted = kReaders * kDescriptorsPerReader + kOtherDescriptors;
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = std::min(wanted, limit.rlim_max);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  const auto free = std::min(wanted, limit.rlim_cur) - kOtherDescriptors;
  return static_cast<int>(free) / kDescriptorsPerReader;
}

std::size_t
AnswerBytes(int aReader)
{
  return kMinAnswerBytes + static_cast<std::size_t>(aReader) *
                             (kMaxAnswerBytes - kMinAnswerBytes) / kReaders;
}

// A connection that asks for an answer of so many bytes. The small receive
// buffer leaves the answer to the listener.
Poco::Net::StreamSocket
Ask(std::size_t aBytes, int aReceiveBufferBytes = 4 << 10)
{
  Poco::Net::StreamSocket socket;
  socket.init(AF_INET);
  socket.setReceiveBufferSize(aReceiveBufferBytes);
  socket.connect(Poco::Net::SocketAddress(kAddress));
  const auto request =
    "GET /" + std::to_string(aBytes) + " HTTP/1.1\r\nHost: a\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return socket;
}

HttpReply
Serve(const HttpCall& aCall)
{
  const auto bytes = std::stoul(aCall.mHttp.mTarget.substr(1));
  return { .mAnswer = { .mStatus = 200, .mBody = std::string(bytes, 'x') } };
}

// The answer to a request for kMinAnswerBytes; status 0 if there is none.
HttpAnswer
Fetch(HttpPool& aPool)
{
  const auto deadline = Now() + kWait;
  auto exchange = aPool.Begin(
    { .mMethod = "GET", .mTarget = "/" + std::to_string(kMinAnswerBytes) },
    deadline);
  if (!exchange || !(*exchange)->WaitReadable(deadline)) {
    return {};
  }
  auto answer = (*exchange)->ReadAnswer(deadline);
  return answer ? *answer : HttpAnswer{};
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  for (const auto until = Now() + kWait; !aCondition();) {
    if (Now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

// Reads a kilobyte a second from every second socket, until stopped.
class SlowReading
{
public:
  explicit SlowReading(std::vector<Poco::Net::StreamSocket>& aSockets)
    : mThread([this, &aSockets] { Run(aSockets); })
  {
  }

  ~SlowReading()
  {
    mStop = true;
    mThread.join();
  }
  SlowReading(const SlowReading&) = delete;
  SlowReading& operator=(const SlowReading&) = delete;

private:
  void Run(std::vector<Poco::Net::StreamSocket>& aSockets)
  {
    std::array<char, 1024> buffer{};
    for (auto next = Now(); !mStop; next += std::chrono::seconds(1)) {
      for (std::size_t i = 0; i < aSockets.size() && !mStop; i += 2) {
        try {
          aSockets[i].setBlocking(false);
          aSockets[i].receiveBytes(buffer.data(), buffer.size());
        } catch (const Poco::Exception&) {
          continue; // closed by the listener
        }
      }
      while (!mStop && Now() < next) {
        std::this_thread::sleep_for(kPoll);
      }
    }
  }

  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace

// Guards against a request that is rejected after it has run, which its caller
// would repeat.
TEST_CASE("A request above the budget for unread answers is not run")
{
  constexpr std::size_t kBytes = 8 << 20;
  std::atomic<int> runs{ 0 };
  const auto listener =
    *HttpListener::Make({ .mAddress = kAddress, .mUnsentBudget = kBytes / 2 },
                        [&](const HttpCall& aCall) {
                          ++runs;
                          return Serve(aCall);
                        });
  auto stopped = Ask(kBytes);
  REQUIRE(WaitUntil([&] { return listener->UnsentBytes() >= kBytes; }));
  HttpPool newcomer({ .mAddress = kAddress });
  const auto rejected = Fetch(newcomer);
  CHECK(rejected.mStatus == 503);
  CHECK(HeaderValue(rejected.mHeaders, "Retry-After") == "10");
  CHECK(HeaderValue(rejected.mHeaders, "Connection") == "close");
  CHECK(runs == 1);
  stopped.close();
  REQUIRE(WaitUntil([&] { return listener->UnsentBytes() == 0; }));
  CHECK(Fetch(newcomer).mStatus == 200);
  CHECK(runs == 2);
}

// A send buffer that holds one segment waits for a delayed acknowledgement
// after each: an answer of 15 MiB took 7 s on loopback.
TEST_CASE("The send buffer for slow readers holds several segments")
{
  constexpr std::size_t kBytes = 4 << 20;
  constexpr std::uint32_t kMaxSegmentBytes = 16 << 10;
  const auto listener =
    *HttpListener::Make({ .mAddress = kAddress, .mUnsentBudget = kBudgetBytes },
                        [](const HttpCall& aCall) { return Serve(aCall); });
  auto socket = Ask(kBytes, kBytes);
  std::vector<char> buffer(kBytes);
  for (std::size_t read = 0; read < kBytes;) {
    const int size =
      socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    REQUIRE(size > 0);
    read += static_cast<std::size_t>(size);
  }
  tcp_info info{};
  socklen_t size = sizeof(info);
  REQUIRE(::getsockopt(
            socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
  CHECK(info.tcpi_rcv_mss <= kMaxSegmentBytes);
}

// The last quarter of the budget suffices for the answers of all workers that
// are admitted at once, so the other caller is always served.
// Guards against a box that runs out of memory: 2,000 answers of 90 to 540 KB
// are 600 MB, and a box may have 160 MB.
TEST_CASE(
  "Thousands of slow readers take bounded memory, and others are served")
{
  const int readers = ReaderCount();
  std::atomic<int> rejections{ 0 };
  std::atomic<int> cuts{ 0 };
  auto listener = *HttpListener::Make(
    { .mAddress = kAddress,
      .mWorkers = kWorkers,
      .mConnections = kReaders + kOtherDescriptors,
      .mUnreadTimeout = Millis(5000),
      .mUnsentBudget = kBudgetBytes,
      .mMakeRejection =
        [&](ListenerRejection aRejection, std::optional<Millis> aRetryAfter) {
          if (aRejection == ListenerRejection::kUnsentFull) {
            ++rejections;
            CHECK(aRetryAfter.value_or(Millis(0)) >= Millis(1000));
          }
          return HttpReply{ .mAnswer = { .mStatus = StatusOf(aRejection) } };
        },
      .mOnSlowReader = [&](SlowReader) { ++cuts; } },
    [](const HttpCall& aCall) { return Serve(aCall); });
  HttpPool caller({ .mAddress = kAddress });
  REQUIRE(Fetch(caller).mStatus == 200);
  const auto before = StatusMb("VmRSS");

  std::vector<Poco::Net::StreamSocket> sockets;
  std::size_t peak = 0;
  int served = 0;
  for (int i = 0; i < readers; ++i) {
    sockets.push_back(Ask(AnswerBytes(i)));
    peak = std::max(peak, listener->UnsentBytes());
    if (i % 10 == 0) {
      CHECK(Fetch(caller).mStatus == 200);
      ++served;
    }
  }
  REQUIRE(WaitUntil([&] { return rejections > 0; }));
  {
    const SlowReading reading(sockets);
    // The stopped readers are disconnected in the end.
    CHECK(WaitUntil([&] {
      peak = std::max(peak, listener->UnsentBytes());
      CHECK(Fetch(caller).mStatus == 200);
      ++served;
      return cuts > 0 && listener->UnsentBytes() < kBudgetBytes / 2;
    }));
  }
  HttpPool newcomer({ .mAddress = kAddress });
  CHECK(Fetch(newcomer).mStatus == 200);
  CHECK(peak <= kBudgetBytes + kWorkers * kMaxAnswerBytes);
  MESSAGE(readers << " slow readers, " << rejections.load()
                  << " of them rejected, " << cuts.load()
                  << " disconnected; at most " << (peak >> 20)
                  << " MB unsent; memory of listener and clients " << before
                  << " MB before, " << StatusMb("VmHWM")
                  << " MB at the peak; the other caller was served " << served
                  << " times");
}
