// Peak memory of a daemon by number and size of the bodies that callers send or
// receive at once, with three boxes on loopback and 260 MB for each, and what
// it does to small requests beside them: MemoryBench
#include "Figure.h"
#include "ProcessStatus.h"
#include "fleet/MeshFleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace {

using namespace porttiller;
using namespace porttiller::bench;
using fleet::MeshFleet;

constexpr int kBoxes = 3;
constexpr int kPortBase = 23'000;
constexpr double kMemoryMb = 260.0;
constexpr std::size_t kMib = 1 << 20;
constexpr Millis kTimeout{ 5000 };
constexpr Millis kSlowTime{ 2000 };
constexpr double kPercentile = 0.99;

enum class Kind
{
  kUploads,        // with a length
  kChunkedUploads, // without
  kSlowUploads,    // each takes kSlowTime
  kStalledUploads, // servers read nothing for kSlowTime
  kAnswers,
  kSlowReaders // each takes kSlowTime to read its answer
};

const char*
ToText(Kind aKind)
{
  switch (aKind) {
    case Kind::kUploads:
      return "uploads";
    case Kind::kChunkedUploads:
      return "chunked-uploads";
    case Kind::kSlowUploads:
      return "slow-uploads";
    case Kind::kStalledUploads:
      return "stalled-uploads";
    case Kind::kAnswers:
      return "answers";
    case Kind::kSlowReaders:
      break;
  }
  return "slow-readers";
}

struct Load
{
  Kind mKind = Kind::kUploads;
  int mCount = 0;
  std::size_t mMib = 0;
};

// Sends the body of an upload, or reads an answer, in kPieces.
class PiecewiseCaller
{
public:
  PiecewiseCaller(MeshFleet& aFleet, const Load& aLoad, int aNumber)
    : mLoad(aLoad)
    , mPause(aLoad.mKind == Kind::kChunkedUploads ? Millis(0)
                                                  : kSlowTime / kPieces)
  {
    mSocket.connect(
      Poco::Net::SocketAddress(aFleet.CallerAddress(aNumber % kBoxes)));
    mSocket.setReceiveTimeout(
      Poco::Timespan(static_cast<long>(2 * kTimeout.count()) * 1000));
    const bool reads = mLoad.mKind == Kind::kSlowReaders;
    Send(fleet::HeadOf(
      { .mMethod = reads ? "GET" : "POST",
        .mTarget = reads ? "/safe/bytes=" + std::to_string(Bytes() - kMib)
                         : std::string("/once/upload"),
        .mId = "piecewise-" + std::to_string(aNumber),
        .mTimeout = kTimeout }));
  }

  // The status of the answer; 0 if there was none.
  int Run()
  {
    try {
      if (mLoad.mKind == Kind::kSlowReaders) {
        Send("\r\n");
      } else {
        SendBody();
      }
      return Read();
    } catch (const Poco::Exception&) {
      return 0;
    }
  }

private:
  static constexpr int kPieces = 20;

  std::size_t Bytes() const { return mLoad.mMib * kMib; }

  void Send(const std::string& aText)
  {
    for (std::size_t sent = 0; sent < aText.size();) {
      sent += static_cast<std::size_t>(mSocket.sendBytes(
        aText.data() + sent, static_cast<int>(aText.size() - sent)));
    }
  }

  void SendBody()
  {
    const bool chunked = mLoad.mKind == Kind::kChunkedUploads;
    Send(chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                 : "Content-Length: " + std::to_string(Bytes()) + "\r\n\r\n");
    const std::string piece(Bytes() / kPieces, 'x');
    for (std::size_t left = Bytes(); left > 0;) {
      const auto text = piece.substr(0, left);
      left -= text.size();
      std::this_thread::sleep_for(mPause);
      Send(chunked ? Poco::NumberFormatter::formatHex(text.size()) + "\r\n" +
                       text + "\r\n"
                   : text);
    }
    Send(chunked ? "0\r\n\r\n" : "");
  }

  int Read()
  {
    MessageReader reader(MessageKind::kAnswer, {});
    std::vector<char> buffer(Bytes() / kPieces);
    while (!reader.IsComplete()) {
      const int size =
        mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (size <= 0 ||
          !reader.Feed({ buffer.data(), static_cast<std::size_t>(size) })) {
        return 0;
      }
      if (mLoad.mKind == Kind::kSlowReaders) {
        std::this_thread::sleep_for(mPause * size / buffer.size());
      }
    }
    return reader.TakeAnswer().mStatus;
  }

  const Load mLoad;
  const Millis mPause;
  Poco::Net::StreamSocket mSocket;
};

// The status of the answer.
int
SendLarge(MeshFleet& aFleet, const Load& aLoad, int aNumber)
{
  const auto bytes = aLoad.mMib * kMib;
  const auto id = "large-" + std::to_string(aNumber);
  switch (aLoad.mKind) {
    case Kind::kUploads:
    case Kind::kStalledUploads:
      return aFleet
        .Send({ .mBox = aNumber % kBoxes,
                .mMethod = "POST",
                .mTarget = "/once/upload",
                .mId = id,
                .mBody = std::string(bytes, 'x'),
                .mTimeout = kTimeout })
        .mStatus;
    case Kind::kAnswers:
      return aFleet
        .Send({ .mBox = aNumber % kBoxes,
                .mTarget = "/safe/bytes=" + std::to_string(bytes - kMib),
                .mId = id,
                .mTimeout = kTimeout })
        .mStatus;
    case Kind::kChunkedUploads:
    case Kind::kSlowUploads:
    case Kind::kSlowReaders:
      break;
  }
  return PiecewiseCaller(aFleet, aLoad, aNumber).Run();
}

// The servers read nothing for kSlowTime; the future is ready after that, and
// its destructor waits for it.
std::future<void>
StallServers(MeshFleet& aFleet)
{
  const auto cut = [&aFleet](bool aCut) {
    for (int box = 0; box < kBoxes; ++box) {
      aFleet.ServerLink(box).CutForward(aCut);
    }
  };
  cut(true);
  return std::async(std::launch::async, [cut] {
    std::this_thread::sleep_for(kSlowTime);
    cut(false);
  });
}

// The 99th percentile of the time of small requests until aEnded, in ms.
double
TimeSmall(MeshFleet& aFleet, const std::atomic<bool>& aEnded)
{
  std::vector<double> times;
  for (int i = 0; !aEnded; ++i) {
    const auto start = Now();
    aFleet.Send(i % kBoxes, "POST", "/once/x", "small-" + std::to_string(i));
    times.push_back(
      std::chrono::duration<double, std::milli>(Now() - start).count());
  }
  std::sort(times.begin(), times.end());
  const auto at = static_cast<double>(times.size()) * kPercentile;
  return times.empty()
           ? 0.0
           : times[std::min(times.size() - 1, static_cast<std::size_t>(at))];
}

void
Measure(const Load& aLoad)
{
  MeshFleet fleet({ .mBoxes = kBoxes,
                    .mPortBase = kPortBase,
                    .mLinks = aLoad.mKind == Kind::kStalledUploads,
                    .mMemoryMb = kMemoryMb,
                    .mMaxBodyBytes = 64 * kMib });
  std::future<void> stall;
  if (aLoad.mKind == Kind::kStalledUploads) {
    stall = StallServers(fleet);
  }
  std::vector<std::future<int>> large;
  large.reserve(static_cast<std::size_t>(aLoad.mCount));
  for (int i = 0; i < aLoad.mCount; ++i) {
    large.push_back(std::async(std::launch::async,
                               [&, i] { return SendLarge(fleet, aLoad, i); }));
  }
  std::atomic<bool> ended{ false };
  auto small =
    std::async(std::launch::async, [&] { return TimeSmall(fleet, ended); });
  int served = 0;
  int rejected = 0;
  for (auto& request : large) {
    const int status = request.get();
    served += status == 200 ? 1 : 0;
    rejected += status == 503 ? 1 : 0;
  }
  ended = true;
  std::size_t peak = 0;
  for (int box = 0; box < kBoxes; ++box) {
    peak = std::max(peak, StatusMb("VmHWM", std::to_string(fleet.PidOf(box))));
  }
  const FigurePrinter print(std::to_string(aLoad.mCount) + " x " +
                              std::to_string(aLoad.mMib) + " MiB",
                            ToText(aLoad.mKind));
  print("peak", static_cast<double>(peak), "MB");
  print("served", served, "requests");
  print("rejected", rejected, "requests");
  print("small_p99", small.get(), "ms");
}

} // namespace

int
main()
{
  Measure({ .mCount = 0, .mMib = 0 }); // the small requests alone
  for (const int count : { 1, 2, 4, 16 }) {
    for (const std::size_t mib : { 1, 16, 64 }) {
      Measure({ .mCount = count, .mMib = mib });
    }
  }
  for (const int count : { 1, 4, 16 }) {
    for (const std::size_t mib : { 1, 4, 16 }) {
      Measure({ .mKind = Kind::kAnswers, .mCount = count, .mMib = mib });
    }
  }
  for (const auto kind : { Kind::kChunkedUploads,
                           Kind::kSlowUploads,
                           Kind::kStalledUploads,
                           Kind::kSlowReaders }) {
    for (const int count : { 4, 16 }) {
      for (const std::size_t mib : { 4, 16 }) {
        Measure({ .mKind = kind, .mCount = count, .mMib = mib });
      }
    }
  }
}
