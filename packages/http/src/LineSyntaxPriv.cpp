#include "LineSyntaxPriv.h"

#include <algorithm>
#include <array>

namespace porttiller {

namespace {

constexpr int kStatusDigits = 3;
constexpr unsigned char kDelete = 0x7f;

// RFC 9110, 5.6.2.
constexpr std::string_view kTokenChars = "!#$%&'*+-.^_`|~"
                                         "0123456789"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "abcdefghijklmnopqrstuvwxyz";

constexpr auto kIsTokenChar = [] {
  std::array<bool, 256> table{};
  for (const char each : kTokenChars) {
    table.at(static_cast<unsigned char>(each)) = true;
  }
  return table;
}();

bool
IsBlank(unsigned char aByte)
{
  return aByte == ' ' || aByte == '\t';
}

} // namespace

bool
IsText(unsigned char aByte)
{
  return (aByte >= ' ' && aByte != kDelete) || aByte == '\t';
}

void
LineSyntax::Begin(LineKind aKind)
{
  *this = {};
  mKind = aKind;
}

bool
LineSyntax::Accept(std::string_view aBytes)
{
  return std::all_of(aBytes.begin(), aBytes.end(), [this](char aByte) {
    return AcceptByte(static_cast<unsigned char>(aByte));
  });
}

bool
LineSyntax::AcceptByte(unsigned char aByte)
{
  if (aByte == '\n') {
    const bool needsCr =
      mKind == LineKind::kChunkSize || mKind == LineKind::kChunkEnd;
    return (mAfterCr || !needsCr) && EndLine();
  }
  if (mAfterCr) {
    return false;
  }
  if (aByte == '\r') {
    mAfterCr = true;
    return true;
  }
  switch (mKind) {
    case LineKind::kField:
      return AcceptFieldByte(aByte);
    case LineKind::kStatus:
      return AcceptStatusByte(aByte);
    case LineKind::kChunkEnd:
      return false;
    case LineKind::kRequest:
    case LineKind::kChunkSize:
      break;
  }
  mPart = Part::kText;
  return IsText(aByte);
}

bool
LineSyntax::AcceptFieldByte(unsigned char aByte)
{
  if (mPart == Part::kBegin) {
    mPart = mMayFold && IsBlank(aByte) ? Part::kText : Part::kName;
  }
  if (mPart == Part::kName) {
    if (aByte == ':') {
      mPart = Part::kText;
      return true;
    }
    return kIsTokenChar.at(aByte);
  }
  return IsText(aByte);
}

bool
LineSyntax::AcceptStatusByte(unsigned char aByte)
{
  switch (mPart) {
    case Part::kBegin:
    case Part::kVersion:
      mPart = aByte == ' ' ? Part::kStatusCode : Part::kVersion;
      break;
    case Part::kStatusCode:
      if (aByte == ' ') {
        mPart = mStatusDigits > 0 ? Part::kText : Part::kStatusCode;
        return mStatusDigits == 0 || mStatusDigits == kStatusDigits;
      }
      return ++mStatusDigits <= kStatusDigits;
    case Part::kName:
    case Part::kText:
      break;
  }
  return IsText(aByte);
}

bool
LineSyntax::EndLine()
{
  const bool whole =
    mPart != Part::kStatusCode || mStatusDigits == kStatusDigits;
  const bool empty = mPart == Part::kBegin;
  switch (mKind) {
    case LineKind::kRequest:
    case LineKind::kStatus:
      Begin(empty ? mKind : LineKind::kField);
      break;
    case LineKind::kField:
      Begin(LineKind::kField);
      mMayFold = !empty;
      break;
    case LineKind::kChunkEnd:
    case LineKind::kChunkSize:
      Begin(LineKind::kChunkSize);
      break;
  }
  return whole;
}

} // namespace porttiller
