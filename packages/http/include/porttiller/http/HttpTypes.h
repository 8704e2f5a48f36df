// Plain values for HTTP requests and answers that are held whole.
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

// True for methods that are repeatable wherever nothing else is said.
bool
IsSafeMethod(std::string_view aMethod);

// The messages as they go over the wire, with a Content-Length.
std::string
ToWire(const HttpRequestData& aRequest);
// With aHeadOnly the length is told and the body left out. aClose asks the
// other side to end the connection.
std::string
ToWire(const HttpAnswer& aAnswer, bool aHeadOnly, bool aClose);

// The value of the first header of this name, whatever its case, or "".
std::string
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

// Takes every header of this name away, whatever its case. Returns how many.
std::size_t
RemoveHeader(HttpHeaders& aHeaders, std::string_view aName);

// Headers that end at one hop or that only the proxy may set.
bool
IsHopHeader(std::string_view aName);

// What goes on to the other side.
HttpHeaders
WithoutHopHeaders(const HttpHeaders& aHeaders);

} // namespace porttiller
