// HTTP requests and answers with their complete bodies.
#pragma once

#include "porttiller/http/Body.h"

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
  Body mBody;
  std::string mVersion = "HTTP/1.1";
};

struct HttpAnswer
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  Body mBody;
};

// GET and HEAD: repeatable unless a route or header says otherwise.
bool
IsSafeMethod(std::string_view aMethod);

// Serializes all of a message but its body, with a Content-Length.
std::string
HeadToWire(const HttpRequestData& aRequest);
// aClose adds "Connection: close".
std::string
HeadToWire(const HttpAnswer& aAnswer, bool aClose);

// Whether this is the status of an answer that ends an exchange: 200 to 599.
bool
IsFinalStatus(int aStatus);

// Whether the text has no control character but tabs.
bool
IsFieldValue(std::string_view aText);

// Whether an answer with this status never has a body.
bool
IsBodyless(int aStatus);

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
