// Incremental reader of HTTP/1.1 messages. http_parser does the parsing; this
// class enforces size limits and collects one complete message at a time.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/HttpTypes.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace porttiller {

enum class MessageFault
{
  kMalformed,    // not valid HTTP/1.x, ambiguous framing, or interim answers
                 // without end
  kHeadTooLarge, // over mMaxHeaders or mMaxHeaderBytes
  kBodyTooLarge, // over mMaxBodyBytes
  kNoMemory,     // no room in the body budget, and none to wait for
  kTruncated     // the connection ended within a message
};

const char*
ToText(MessageFault aFault);

struct MessageLimits
{
  std::size_t mMaxHeaders = 100;
  // Request target, names and values; those of interim answers count as well.
  std::size_t mMaxHeaderBytes = 16 << 10;
  std::size_t mMaxBodyBytes = 16 << 20;
};

enum class MessageKind
{
  kRequest,
  kAnswer
};

// Owned by one connection; not thread-safe.
class MessageReader
{
public:
  // aBudget counts the bodies; may be null.
  MessageReader(MessageKind aKind,
                MessageLimits aLimits,
                std::shared_ptr<BodyBudget> aBudget = nullptr);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  // Applies to a head that has not ended, and to the body behind it.
  void SetLimits(const MessageLimits& aLimits);
  // Consumes bytes up to the end of the current message and returns how many.
  // Stops at the end of the head while there is no room for the body; see
  // NeedsRoom. Call Next before passing the bytes of the next message.
  tl::expected<std::size_t, MessageFault> Feed(std::string_view aBytes);
  // The peer closed the connection. Completes an answer that has no length.
  tl::expected<void, MessageFault> End();
  // Discards the current message and starts the next one. aAnswersHead: it
  // answers a HEAD request and has no body.
  void Next(bool aAnswersHead = false);

  // Whether the body waits for room in the budget, which it has none of yet.
  // Feed and AwaitRoom try again.
  bool NeedsRoom() const;
  // Blocks until there is room; false at aUntil.
  bool AwaitRoom(TimePoint aUntil);
  // Of the current message: bytes of its body that were read, and whether other
  // messages wait for the room that it takes.
  std::size_t BodyBytes() const;
  bool DelaysOthers() const;

  // Whether any byte of the current message was consumed.
  bool HasStarted() const;
  bool IsComplete() const;
  // Whether the connection stays open after this message.
  bool KeepAlive() const;

  // Only for a complete message. mVersion is "HTTP/1.1" or "HTTP/1.0".
  HttpRequestData TakeRequest();
  HttpAnswer TakeAnswer();

private:
  class Parser;

  std::unique_ptr<Parser> mParser;
};

} // namespace porttiller
