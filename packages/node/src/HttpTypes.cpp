#include "porttiller/node/HttpTypes.h"

#include <Poco/String.h>
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
constexpr std::string_view kOwnPrefix = "porttiller-";

} // namespace

std::string
HeaderValue(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (Poco::icompare(header.mName, std::string(aName)) == 0) {
      return header.mValue;
    }
  }
  return {};
}

bool
IsHopHeader(std::string_view aName)
{
  const auto name = Poco::toLower(std::string(aName));
  return name.starts_with(kOwnPrefix) ||
         std::find(kHopHeaders.begin(), kHopHeaders.end(), name) !=
           kHopHeaders.end();
}

HttpHeaders
WithoutHopHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders kept;
  for (const auto& header : aHeaders) {
    if (!IsHopHeader(header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace porttiller
