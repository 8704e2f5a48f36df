#include "porttiller/http/MessageReader.h"

#include "LineSyntaxPriv.h"

#include <Poco/String.h>
#include <algorithm>
#include <cassert>
#include <http_parser.h>
#include <optional>

namespace porttiller {

namespace {

constexpr int kInformational = 1; // 1xx: interim, the final answer follows
constexpr int kStatusClass = 100;
constexpr int kMinStatus = 100;
// Before a final answer; more are no answer.
constexpr int kMaxInterimAnswers = 8;
constexpr const char* kTransferEncoding = "Transfer-Encoding";
constexpr const char* kChunked = "chunked";

} // namespace

const char*
ToText(MessageFault aFault)
{
  switch (aFault) {
    case MessageFault::kMalformed:
      return "malformed";
    case MessageFault::kHeadTooLarge:
      return "headers-too-large";
    case MessageFault::kBodyTooLarge:
      return "body-too-large";
    case MessageFault::kNoMemory:
      return "no-memory";
    case MessageFault::kTruncated:
      break;
  }
  return "cut";
}

class MessageReader::Parser
{
public:
  Parser(MessageKind aKind,
         MessageLimits aLimits,
         std::shared_ptr<BodyBudget> aBudget)
    : mLimits(aLimits)
    , mKind(aKind)
    , mBudget(std::move(aBudget))
  {
    Reset(false);
  }

  void Reset(bool aAnswersHead);
  tl::expected<std::size_t, MessageFault> Feed(std::string_view aBytes);
  tl::expected<void, MessageFault> End();
  bool AwaitRoom(TimePoint aUntil);
  Body TakeBody() { return mBody.Size() > 0 ? mBody.Take() : Body(); }

  MessageLimits mLimits;
  bool mStarted = false;
  bool mComplete = false;
  bool mKeepAlive = false;
  HttpRequestData mRequest; // without its body
  HttpAnswer mAnswer;
  BodyBuffer mBody;
  std::size_t mAwaited = 0; // bytes of a body that waits for room

private:
  static Parser& Of(http_parser* aParser)
  {
    return *static_cast<Parser*>(aParser->data);
  }

  // What the next bytes belong to.
  enum class Section
  {
    kLines, // head, trailers, or the lines around the data of a chunk
    kChunkData,
    kBody // without chunks
  };

  static const http_parser_settings& Callbacks();
  std::string_view NextPart(std::string_view aBytes) const;
  tl::expected<std::size_t, MessageFault> FeedPart(std::string_view aPart);
  bool IsDone() const { return mComplete || mAwaited > 0; }
  bool IsValidHead();
  bool IsValidCoding();
  bool IsInterim() const
  {
    return mKind == MessageKind::kAnswer &&
           mAnswer.mStatus / kStatusClass == kInformational;
  }
  // Whatever its fields say; http_parser goes by them.
  bool HasNoBody() const
  {
    return mKind == MessageKind::kAnswer &&
           (mAnswersHead || IsInterim() || IsBodyless(mAnswer.mStatus));
  }
  int OnTarget(std::string_view aBytes);
  int OnName(std::string_view aBytes);
  int OnValue(std::string_view aBytes);
  int OnHeadersComplete();
  int ReserveBody();
  int OnChunkHeader();
  int OnBody(std::string_view aBytes);
  int OnMessageComplete();
  int CountHeadBytes(std::size_t aBytes);
  MessageFault Fault() const
  {
    return mFault.value_or(MessageFault::kMalformed);
  }
  HttpHeaders& Headers()
  {
    return mKind == MessageKind::kRequest ? mRequest.mHeaders
                                          : mAnswer.mHeaders;
  }

  const MessageKind mKind;
  const std::shared_ptr<BodyBudget> mBudget;
  http_parser mState{};
  LineSyntax mSyntax;
  Section mSection = Section::kLines;
  bool mAnswersHead = false;
  bool mLastWasValue = true;
  std::size_t mMaxBodyBytes = 0; // as the head ended
  std::size_t mHeadBytes = 0;    // with those of interim answers
  int mInterimAnswers = 0;
  std::optional<MessageFault> mFault;
};

void
MessageReader::Parser::Reset(bool aAnswersHead)
{
  http_parser_init(
    &mState, mKind == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  mState.data = this;
  mSyntax.Begin(mKind == MessageKind::kRequest ? LineKind::kRequest
                                               : LineKind::kStatus);
  mSection = Section::kLines;
  mStarted = false;
  mComplete = false;
  mKeepAlive = false;
  mRequest = {};
  mAnswer = {};
  mBody = BodyBuffer(mBudget);
  mAwaited = 0;
  mAnswersHead = aAnswersHead;
  mLastWasValue = true;
  mHeadBytes = 0;
  mInterimAnswers = 0;
  mFault.reset();
}

const http_parser_settings&
MessageReader::Parser::Callbacks()
{
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_url = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return Of(aParser).OnTarget({ aAt, aSize });
    };
    made.on_header_field =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        return Of(aParser).OnName({ aAt, aSize });
      };
    made.on_header_value =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        return Of(aParser).OnValue({ aAt, aSize });
      };
    made.on_headers_complete = [](http_parser* aParser) {
      return Of(aParser).OnHeadersComplete();
    };
    made.on_chunk_header = [](http_parser* aParser) {
      return Of(aParser).OnChunkHeader();
    };
    made.on_body = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return Of(aParser).OnBody({ aAt, aSize });
    };
    made.on_message_complete = [](http_parser* aParser) {
      return Of(aParser).OnMessageComplete();
    };
    return made;
  }();
  return settings;
}

tl::expected<std::size_t, MessageFault>
MessageReader::Parser::Feed(std::string_view aBytes)
{
  if (aBytes.empty() || mComplete) {
    return 0;
  }
  if (mAwaited > 0 && !AwaitRoom(TimePoint::min())) {
    return 0;
  }
  mStarted = true;
  std::size_t used = 0;
  while (used < aBytes.size() && !IsDone()) {
    const auto taken = FeedPart(NextPart(aBytes.substr(used)));
    if (!taken) {
      return taken;
    }
    used += *taken;
  }
  return used;
}

// The bytes up to where the section may change.
std::string_view
MessageReader::Parser::NextPart(std::string_view aBytes) const
{
  switch (mSection) {
    case Section::kLines: {
      const auto lf = aBytes.find('\n');
      return lf == std::string_view::npos ? aBytes : aBytes.substr(0, lf + 1);
    }
    case Section::kChunkData:
      return aBytes.substr(0, mState.content_length);
    case Section::kBody:
      break;
  }
  return aBytes;
}

tl::expected<std::size_t, MessageFault>
MessageReader::Parser::FeedPart(std::string_view aPart)
{
  if (mSection == Section::kLines && !mSyntax.Accept(aPart)) {
    return tl::make_unexpected(MessageFault::kMalformed);
  }
  const auto used =
    http_parser_execute(&mState, &Callbacks(), aPart.data(), aPart.size());
  if (IsDone()) {
    return used; // the parser is paused
  }
  if (mState.http_errno != HPE_OK || mState.upgrade != 0) {
    return tl::make_unexpected(Fault());
  }
  if (mSection == Section::kChunkData && mState.content_length == 0) {
    mSection = Section::kLines;
    mSyntax.Begin(LineKind::kChunkEnd);
  }
  return used;
}

tl::expected<void, MessageFault>
MessageReader::Parser::End()
{
  if (mStarted && !mComplete && mFault == std::nullopt) {
    http_parser_execute(&mState, &Callbacks(), nullptr, 0);
  }
  if (!mComplete) {
    return tl::make_unexpected(MessageFault::kTruncated);
  }
  return {};
}

bool
MessageReader::Parser::AwaitRoom(TimePoint aUntil)
{
  auto& reservation = mBody.Reservation();
  if (!(aUntil == TimePoint::min()
          ? reservation.Reserve(mAwaited)
          : reservation.AwaitReserve(mAwaited, aUntil))) {
    return false;
  }
  mAwaited = 0;
  http_parser_pause(&mState, 0);
  return true;
}

int
MessageReader::Parser::CountHeadBytes(std::size_t aBytes)
{
  mHeadBytes += aBytes;
  if (mHeadBytes > mLimits.mMaxHeaderBytes ||
      Headers().size() > mLimits.mMaxHeaders) {
    mFault = MessageFault::kHeadTooLarge;
    return -1;
  }
  return 0;
}

int
MessageReader::Parser::OnTarget(std::string_view aBytes)
{
  mRequest.mTarget += aBytes;
  return CountHeadBytes(aBytes.size());
}

int
MessageReader::Parser::OnName(std::string_view aBytes)
{
  if (mLastWasValue) {
    Headers().emplace_back();
    mLastWasValue = false;
  }
  Headers().back().mName += aBytes;
  return CountHeadBytes(aBytes.size());
}

int
MessageReader::Parser::OnValue(std::string_view aBytes)
{
  mLastWasValue = true;
  if (Headers().empty()) {
    return -1;
  }
  Headers().back().mValue += aBytes;
  return CountHeadBytes(aBytes.size());
}

// Whether the head can be read as its sender meant it. LineSyntax has checked
// the form of the lines; the version of a request is left to the receiver.
bool
MessageReader::Parser::IsValidHead()
{
  const bool knownVersion = mState.http_major == 1 && mState.http_minor <= 1;
  const bool validStatus =
    mState.status_code >= kMinStatus && mState.status_code <= kMaxStatus;
  return IsValidCoding() &&
         (mKind == MessageKind::kRequest || (knownVersion && validStatus));
}

// The body has no transfer coding, or just the one that http_parser decodes.
bool
MessageReader::Parser::IsValidCoding()
{
  const auto isCoding = [](const HttpHeader& aHeader) {
    return Poco::icompare(aHeader.mName, kTransferEncoding) == 0;
  };
  const auto& headers = Headers();
  const auto coding = std::find_if(headers.begin(), headers.end(), isCoding);
  if (coding == headers.end()) {
    return true;
  }
  return std::none_of(coding + 1, headers.end(), isCoding) &&
         Poco::icompare(Poco::trim(coding->mValue), kChunked) == 0;
}

int
MessageReader::Parser::OnHeadersComplete()
{
  if (!IsValidHead()) {
    return -1;
  }
  mKeepAlive = http_should_keep_alive(&mState) != 0;
  if (mKind == MessageKind::kRequest) {
    mRequest.mMethod = http_method_str(static_cast<http_method>(mState.method));
    mRequest.mVersion = mState.http_major == 1 && mState.http_minor == 0
                          ? "HTTP/1.0"
                        : mState.http_major == 1 ? "HTTP/1.1"
                                                 : "HTTP/x";
  } else {
    mAnswer.mStatus = static_cast<int>(mState.status_code);
  }
  if (HasNoBody()) {
    return 1; // http_parser: skips the body
  }
  const bool hasLength = mState.content_length != ULLONG_MAX;
  mMaxBodyBytes = mLimits.mMaxBodyBytes;
  if (hasLength && mState.content_length > mMaxBodyBytes) {
    mFault = MessageFault::kBodyTooLarge;
    return -1;
  }
  if ((mState.flags & F_CHUNKED) != 0) {
    mSyntax.Begin(LineKind::kChunkSize);
  } else {
    mSection = Section::kBody;
  }
  return hasLength && mState.content_length > 0 ? ReserveBody() : 0;
}

// Reserves the announced length, or pauses the parser until there is room.
int
MessageReader::Parser::ReserveBody()
{
  const auto length = static_cast<std::size_t>(mState.content_length);
  if (!mBody.Reservation().IsPossible(length)) {
    mFault = MessageFault::kNoMemory;
    return -1;
  }
  if (!mBody.Reservation().Reserve(length)) {
    mAwaited = length;
    http_parser_pause(&mState, 1);
  }
  return 0;
}

int
MessageReader::Parser::OnChunkHeader()
{
  if (mState.content_length > 0) {
    mSection = Section::kChunkData;
  } else {
    mSyntax.Begin(LineKind::kField); // trailers
  }
  return 0;
}

int
MessageReader::Parser::OnBody(std::string_view aBytes)
{
  if (mBody.Size() + aBytes.size() > mMaxBodyBytes) {
    mFault = MessageFault::kBodyTooLarge;
    return -1;
  }
  if (!mBody.Append(aBytes)) {
    mFault = MessageFault::kNoMemory;
    return -1;
  }
  return 0;
}

int
MessageReader::Parser::OnMessageComplete()
{
  if (IsInterim()) {
    mAnswer = {};
    mSyntax.Begin(LineKind::kStatus);
    return ++mInterimAnswers > kMaxInterimAnswers ? -1 : 0;
  }
  mComplete = true;
  http_parser_pause(&mState, 1);
  return 0;
}

MessageReader::MessageReader(MessageKind aKind,
                             MessageLimits aLimits,
                             std::shared_ptr<BodyBudget> aBudget)
  : mParser(std::make_unique<Parser>(aKind, aLimits, std::move(aBudget)))
{
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader&&) noexcept = default;
MessageReader&
MessageReader::operator=(MessageReader&&) noexcept = default;

void
MessageReader::SetLimits(const MessageLimits& aLimits)
{
  mParser->mLimits = aLimits;
}

tl::expected<std::size_t, MessageFault>
MessageReader::Feed(std::string_view aBytes)
{
  return mParser->Feed(aBytes);
}

tl::expected<void, MessageFault>
MessageReader::End()
{
  return mParser->End();
}

void
MessageReader::Next(bool aAnswersHead)
{
  mParser->Reset(aAnswersHead);
}

bool
MessageReader::NeedsRoom() const
{
  return mParser->mAwaited > 0;
}

bool
MessageReader::AwaitRoom(TimePoint aUntil)
{
  return !NeedsRoom() || mParser->AwaitRoom(aUntil);
}

std::size_t
MessageReader::BodyBytes() const
{
  return mParser->mBody.Size();
}

bool
MessageReader::DelaysOthers() const
{
  const auto& reservation = mParser->mBody.Reservation();
  return reservation.Bytes() > kSmallBodyBytes && reservation.OthersWait();
}

bool
MessageReader::HasStarted() const
{
  return mParser->mStarted;
}

bool
MessageReader::IsComplete() const
{
  return mParser->mComplete;
}

bool
MessageReader::KeepAlive() const
{
  return mParser->mKeepAlive;
}

HttpRequestData
MessageReader::TakeRequest()
{
  assert(mParser->mComplete);
  auto request = std::move(mParser->mRequest);
  request.mBody = mParser->TakeBody();
  return request;
}

HttpAnswer
MessageReader::TakeAnswer()
{
  assert(mParser->mComplete);
  auto answer = std::move(mParser->mAnswer);
  answer.mBody = mParser->TakeBody();
  return answer;
}

} // namespace porttiller
