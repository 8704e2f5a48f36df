// The digest of a request, which entries and homes compute alike.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/core/RequestDigest.h"
#include "porttiller/http/HttpTypes.h"

namespace porttiller {

// Covers method, host, target, body, the service that the request comes from
// and its workspace: what a backend server's work depends on. Leaves out what
// differs between repeats of a request: its id, deadline and connection.
// aHeaders are those that the server receives; the headers of aHttp are not
// used.
RequestDigest
DigestOf(const HttpRequestData& aHttp,
         const HttpHeaders& aHeaders,
         const EdgeHeaders& aNames);

} // namespace porttiller
