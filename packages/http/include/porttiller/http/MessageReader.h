// Reads HTTP/1.1 messages from a stream of bytes, however it is cut into
// pieces. The framing itself is http_parser's; this adds limits and holds one
// whole message at a time.
#pragma once

#include "porttiller/http/HttpTypes.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace porttiller {

enum class MessageFault
{
  kMalformed,    // no HTTP/1.1, or it could be read in two ways
  kHeadTooLarge, // over the limit for headers
  kBodyTooLarge, // over the limit for bodies
  kCut           // the connection ended within a message
};

const char*
ToText(MessageFault aFault);

struct MessageLimits
{
  std::size_t mMaxHeaders = 100;
  std::size_t mMaxHeaderBytes = 16 << 10; // names and values
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
  MessageReader(MessageKind aKind, MessageLimits aLimits);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  // Takes bytes up to the end of the message at hand and returns how many.
  // Call Next before the bytes of a following message.
  tl::expected<std::size_t, MessageFault> Feed(std::string_view aBytes);
  // The connection ended in order: this completes an answer without a length.
  tl::expected<void, MessageFault> End();
  // Forgets the message at hand. An answer to HEAD has no body.
  void Next(bool aAnswersHead = false);

  // Bytes of the message at hand have been seen.
  bool Begun() const;
  bool Whole() const;
  // The connection may carry another message after this one.
  bool KeepAlive() const;

  // Once whole. The version is "HTTP/1.1" or "HTTP/1.0".
  HttpRequestData TakeRequest();
  HttpAnswer TakeAnswer();

private:
  class Parser;

  std::unique_ptr<Parser> mParser;
};

} // namespace porttiller
