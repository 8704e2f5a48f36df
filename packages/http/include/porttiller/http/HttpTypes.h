// HTTP requests and answers with their complete bodies.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace porttiller {

struct HttpHeader
{
  std::string mName;
  std::string mValue;

  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

struct HttpRequestData
{
  std::string mMethod;
  std::string mTarget; // path and query, as received
  HttpHeaders mHeaders;
  std::string mBody;
  std::string mVersion = "HTTP/1.1";
};

struct HttpAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

// GET and HEAD: repeatable unless a route or header says otherwise.
bool
IsSafeMethod(std::string_view aMethod);

// Serializes a message, with a Content-Length.
std::string
ToWire(const HttpRequestData& aRequest);
// aHeadOnly keeps the Content-Length and omits the body. aClose adds
// "Connection: close".
std::string
ToWire(const HttpAnswer& aAnswer, bool aHeadOnly, bool aClose);

// The value of the first header with this name (case-insensitive), or "".
std::string
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

// Removes all headers with this name (case-insensitive). Returns how many.
std::size_t
RemoveHeader(HttpHeaders& aHeaders, std::string_view aName);

// Hop-by-hop headers (RFC 9110, 7.6.1), and headers that only the proxy sets:
// Content-Length, Expect and those with the prefix "porttiller-", but not
// "porttiller-server-".
bool
IsHopHeader(std::string_view aName);

// The headers to forward: without hop-by-hop ones and those that Connection
// names.
HttpHeaders
WithoutHopHeaders(const HttpHeaders& aHeaders);

} // namespace porttiller
