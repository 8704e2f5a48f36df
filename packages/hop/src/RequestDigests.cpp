#include "porttiller/hop/RequestDigests.h"

namespace porttiller {

RequestDigest
DigestOf(const HttpRequestData& aHttp,
         const HttpHeaders& aHeaders,
         const EdgeHeaders& aNames)
{
  const auto value = [&](const std::string& aName) {
    return aName.empty() ? std::string() : HeaderValue(aHeaders, aName);
  };
  const auto host = HeaderValue(aHeaders, "Host");
  const auto caller = value(aNames.mCallerService);
  const auto workspace = value(aNames.mWorkspace);
  return RequestDigest::Of({ aHttp.mMethod,
                             host,
                             aHttp.mTarget,
                             caller,
                             workspace,
                             aHttp.mBody.View() });
}

} // namespace porttiller
