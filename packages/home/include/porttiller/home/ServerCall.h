// Hands requests to one backend server over kept connections, and says what
// each of its answers is worth.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Resources.h"
#include "porttiller/hop/Cutoff.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/http/HttpPool.h"

namespace porttiller {

// Owned by LocalServer. Thread-safe.
class ServerCall
{
public:
  ServerCall(const BackendServerSpec& aSpec,
             const EdgeHeaders& aNames,
             const Cutoff& aCutoff);

  // kNotRun only when the server got nothing, or says itself that it did not
  // run the request: kNoServer from another server at its address.
  HomeAnswer Run(const HomeRequest& aRequest);

private:
  HttpRequestData MakeRequest(const HomeRequest& aRequest) const;
  HomeAnswer Judge(const HomeRequest& aRequest, HttpAnswer aHttp);
  bool SaysNotRun(const HttpAnswer& aHttp) const;
  static HomeAnswer RefusedByServer(const HttpAnswer& aHttp);

  const BackendServerName mServer;
  const EdgeHeaders mNames;
  const Cutoff& mCutoff;
  HttpPool mPool;
};

} // namespace porttiller
