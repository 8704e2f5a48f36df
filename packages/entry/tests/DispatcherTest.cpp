// Answers of another box that are no valid HTTP, as an older version passes on
// what its servers answer, or that do not end.
#include "porttiller/entry/Dispatcher.h"
#include "porttiller/entry/AttemptFilter.h"
#include "porttiller/hop/HopCodec.h"
#include "porttiller/http/HttpListener.h"
#include "standin/EndlessServerStandIn.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr const char* kHomeAddress = "127.0.0.1:22957";
constexpr const char* kHomeControl = "127.0.0.1:22958";
constexpr const char* kEntryControl = "127.0.0.1:22959";
constexpr const char* kKey = "key";

// An entry, and the control address of a home with a recorded answer.
class Fixture
{
public:
  explicit Fixture(int aRecordedStatus)
    : mHomeTransport(*PeerTransport::Make(
        { .mBindAddress = kHomeControl, .mBox = BoxName("home") },
        [aRecordedStatus](const wire::Envelope&, const PeerReplier& aReply) {
          wire::Envelope envelope;
          auto* reply = envelope.mutable_attempt_reply();
          reply->set_state(static_cast<std::uint32_t>(AttemptState::kFinished));
          reply->set_outcome(static_cast<std::uint32_t>(Outcome::kRun));
          reply->set_has_answer(true);
          reply->set_status(aRecordedStatus);
          reply->set_body("recorded");
          aReply(std::move(envelope));
        }))
    , mTransport(*PeerTransport::Make(
        { .mBindAddress = kEntryControl, .mBox = BoxName("entry") },
        [](const wire::Envelope&, const PeerReplier&) {}))
  {
    mSettings.mBox = BoxName("entry");
  }

  AttemptResult Send()
  {
    return mDispatcher.Send({ .mName = BoxName("home"),
                              .mHomeAddress = kHomeAddress,
                              .mControlAddress = kHomeControl },
                            { .mAttempt = mIds.Next(),
                              .mServer = BackendServerName("server"),
                              .mDeadline = Now() + Millis(10'000),
                              .mRequestKey = kKey,
                              .mHttp = { .mMethod = "POST", .mTarget = "/" } });
  }

private:
  Settings mSettings;
  Metrics mMetrics;
  CrashMonitor mCrashes;
  ShutdownDeadline mShutdownDeadline;
  std::unique_ptr<PeerTransport> mHomeTransport;
  std::unique_ptr<PeerTransport> mTransport;
  EntryView mView{ BoxName("entry"), AvailabilityZone("entry"), {} };
  Home mHome{ BoxName("entry"), Incarnation(1),    {},
              RetrySettings{},  mShutdownDeadline, mCrashes };
  Dispatcher mDispatcher{ mSettings,   mHome,    mView,
                          *mTransport, mMetrics, mShutdownDeadline };
  AttemptIdGenerator mIds{ BoxName("entry"), Incarnation(1) };
};

// The listener of the home, which answers each attempt with aAnswer.
std::unique_ptr<HttpListener>
HomeThatAnswers(const HttpAnswer& aAnswer)
{
  return *HttpListener::Make(
    { .mAddress = kHomeAddress }, [aAnswer](HttpCall& aCall) {
      const auto request =
        DecodeHomeRequest(std::move(aCall.mHttp), aCall.mArrival);
      REQUIRE(request);
      HttpReply reply{ .mAnswer = aAnswer };
      for (auto& header : EncodeHomeAnswer({ .mOutcome = Outcome::kRun },
                                           request->mAttempt,
                                           Incarnation(1),
                                           Now())) {
        reply.mAnswer.mHeaders.push_back(std::move(header));
      }
      return reply;
    });
}

const HttpAnswer kValid{ .mStatus = 200, .mBody = "live" };
const HttpAnswer kNoStatus{ .mStatus = 0, .mBody = "live" };
const HttpAnswer kNoName{ .mStatus = 200,
                          .mHeaders = { { "X Foo", "1" } },
                          .mBody = "live" };

} // namespace

TEST_CASE("A home's answer is taken")
{
  const auto home = HomeThatAnswers(kValid);
  Fixture fixture(200);
  const auto taken = fixture.Send();
  const auto* answered = std::get_if<AttemptAnswered>(&taken);
  REQUIRE(answered != nullptr);
  CHECK(answered->mHttp.mStatus == 200);
  CHECK(answered->mHttp.mBody == "live");
}

TEST_CASE("A home's malformed answer is replaced by the recorded one")
{
  for (const auto& malformed : { kNoStatus, kNoName }) {
    const auto home = HomeThatAnswers(malformed);
    Fixture fixture(201);
    const auto taken = fixture.Send();
    const auto* answered = std::get_if<AttemptAnswered>(&taken);
    REQUIRE(answered != nullptr);
    CHECK(answered->mHttp.mStatus == 201);
    CHECK(answered->mHttp.mBody == "recorded");
  }
}

TEST_CASE("A home's malformed answers leave the outcome unknown")
{
  for (const auto& malformed : { kNoStatus, kNoName }) {
    for (const int recorded : { 0, 20, 103, 999 }) {
      CAPTURE(recorded);
      const auto home = HomeThatAnswers(malformed);
      Fixture fixture(recorded);
      CHECK(std::holds_alternative<AttemptUnknown>(fixture.Send()));
    }
  }
}

TEST_CASE("A home's answer without end is cut off")
{
  // An answer has at most 16 MiB; the sockets of both ends hold some more.
  constexpr std::uint64_t kMaxBytes = 40 << 20;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string filler(4096, 'x');
  for (const auto& answer :
       { standin::EndlessAnswer{ .mBegin = "HTTP/1.1 200 ", .mRepeat = filler },
         standin::EndlessAnswer{ .mBegin = ok, .mRepeat = "X: 1\r\n" },
         standin::EndlessAnswer{ .mBegin = ok + "\r\n", .mRepeat = filler },
         standin::EndlessAnswer{ .mBegin =
                                   ok + "Transfer-Encoding: chunked\r\n\r\n",
                                 .mRepeat = "1000\r\n" + filler + "\r\n" } }) {
    CAPTURE(answer.mBegin);
    const standin::EndlessServerStandIn home(kHomeAddress, answer);
    Fixture fixture(0);
    CHECK(std::holds_alternative<AttemptUnknown>(fixture.Send()));
    CHECK(home.MostBytesSent() <= kMaxBytes);
  }
}
