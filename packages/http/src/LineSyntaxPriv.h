// Syntax of the lines of a message: start line, fields, chunk sizes.
#pragma once

#include <cstddef>
#include <string_view>

namespace porttiller {

constexpr int kMaxStatus = 599;

// Whether the byte may be in a field value or a reason phrase: no control
// character but a tab.
bool
IsText(unsigned char aByte);

enum class LineKind
{
  kRequest,   // request line
  kStatus,    // status line of an answer
  kField,     // header or trailer field, or the empty line behind the fields
  kChunkSize, // with its extensions
  kChunkEnd   // the empty line behind the data of a chunk
};

// Checks lines byte by byte against RFC 9112, as http_parser in its lenient
// mode accepts more than that. A bare LF may end a line of a head or of the
// trailers; folded fields and empty lines before a start line are accepted.
class LineSyntax
{
public:
  // The next byte begins a line of this kind.
  void Begin(LineKind aKind);
  // aBytes: of one or several lines. Fields follow a start line and fields, a
  // chunk size follows the end of a chunk. False if such lines cannot have
  // these bytes.
  bool Accept(std::string_view aBytes);

private:
  enum class Part
  {
    kBegin,
    kVersion,    // of a status line
    kStatusCode, // and the blanks before it
    kName,       // of a field
    kText        // the rest of the line
  };

  bool AcceptByte(unsigned char aByte);
  bool AcceptFieldByte(unsigned char aByte);
  bool AcceptStatusByte(unsigned char aByte);
  bool EndLine();

  LineKind mKind = LineKind::kField;
  Part mPart = Part::kBegin;
  bool mAfterCr = false;
  bool mMayFold = false; // a field precedes this line
  int mStatusDigits = 0;
};

} // namespace porttiller
