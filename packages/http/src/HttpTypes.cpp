#include "porttiller/http/HttpTypes.h"

#include "LineSyntaxPriv.h"

#include <Poco/Ascii.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>

namespace porttiller {

namespace {

constexpr std::array kHopHeaders = { "connection",
                                     "keep-alive",
                                     "proxy-authenticate",
                                     "proxy-connection",
                                     "te",
                                     "trailer",
                                     "transfer-encoding",
                                     "upgrade",
                                     "expect",
                                     "proxy-authorization",
                                     "content-length" };
constexpr int kMinFinalStatus = 200;
constexpr std::string_view kOwnPrefix = "porttiller-";
// Of headers in which a backend server describes itself, for callers as well.
constexpr std::string_view kServerPrefix = "porttiller-server-";

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return Poco::Ascii::toLower(aOne) ==
                             Poco::Ascii::toLower(aOther);
                    });
}

void
AppendHeader(std::string& aText,
             std::string_view aName,
             std::string_view aValue)
{
  aText += aName;
  aText += ": ";
  aText += aValue;
  aText += "\r\n";
}

void
AppendHeaders(std::string& aText, const HttpHeaders& aHeaders)
{
  for (const auto& header : aHeaders) {
    AppendHeader(aText, header.mName, header.mValue);
  }
}

} // namespace

bool
IsSafeMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD";
}

std::string
HeadToWire(const HttpRequestData& aRequest)
{
  std::string text =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  AppendHeaders(text, aRequest.mHeaders);
  if (!aRequest.mBody.Empty() || !IsSafeMethod(aRequest.mMethod)) {
    AppendHeader(text, "Content-Length", std::to_string(aRequest.mBody.Size()));
  }
  return text + "\r\n";
}

bool
IsFinalStatus(int aStatus)
{
  return aStatus >= kMinFinalStatus && aStatus <= kMaxStatus;
}

bool
IsFieldValue(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return IsText(static_cast<unsigned char>(aByte));
  });
}

bool
IsBodyless(int aStatus)
{
  using Poco::Net::HTTPResponse;
  return aStatus == HTTPResponse::HTTP_NO_CONTENT ||
         aStatus == HTTPResponse::HTTP_NOT_MODIFIED;
}

std::string
HeadToWire(const HttpAnswer& aAnswer, bool aClose)
{
  using Poco::Net::HTTPResponse;
  const auto status = static_cast<HTTPResponse::HTTPStatus>(aAnswer.mStatus);
  std::string text = "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " " +
                     HTTPResponse::getReasonForStatus(status) + "\r\n";
  AppendHeaders(text, aAnswer.mHeaders);
  if (!IsBodyless(aAnswer.mStatus)) {
    AppendHeader(text, "Content-Length", std::to_string(aAnswer.mBody.Size()));
  }
  if (aClose) {
    AppendHeader(text, "Connection", "close");
  }
  return text + "\r\n";
}

std::string
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (SameName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

std::size_t
RemoveHeader(HttpHeaders& aHeaders, std::string_view aName)
{
  return std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return SameName(aHeader.mName, aName);
  });
}

bool
IsHopHeader(std::string_view aName)
{
  const auto name = Poco::toLower(std::string(aName));
  return (name.starts_with(kOwnPrefix) && !name.starts_with(kServerPrefix)) ||
         std::find(kHopHeaders.begin(), kHopHeaders.end(), name) !=
           kHopHeaders.end();
}

HttpHeaders
WithoutHopHeaders(const HttpHeaders& aHeaders)
{
  // The Connection header names further hop-by-hop headers.
  const Poco::StringTokenizer named(HeaderValue(aHeaders, "Connection"),
                                    ",",
                                    Poco::StringTokenizer::TOK_TRIM |
                                      Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  const auto isNamed = [&](const std::string& aName) {
    return std::any_of(named.begin(), named.end(), [&](const auto& aToken) {
      return SameName(aToken, aName);
    });
  };
  HttpHeaders kept;
  for (const auto& header : aHeaders) {
    if (!IsHopHeader(header.mName) && !isNamed(header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace porttiller
