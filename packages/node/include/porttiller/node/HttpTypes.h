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
};

struct HttpAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;
};

// The value of the first header of this name, whatever its case, or "".
std::string
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName);

// Headers that end at one hop or that only the proxy may set.
bool
IsHopHeader(std::string_view aName);

// What goes on to the other side.
HttpHeaders
WithoutHopHeaders(const HttpHeaders& aHeaders);

} // namespace porttiller
