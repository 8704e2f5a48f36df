// The names of the headers by which callers, the proxy and backend servers tell
// each other about a request. An empty name: that side does not speak of it.
#pragma once

#include <string>

namespace porttiller {

// Immutable; chosen once by the settings.
struct EdgeHeaders
{
  // From callers.
  std::string mDeadline;  // milliseconds that the caller waits, from now on
  std::string mRequestId; // of this request; also on the server's answer
  std::string mKey;       // of a workspace; goes no further than the entry
  // To backend servers.
  std::string mServerDeadline; // milliseconds that are left
  std::string mCallerService;  // the service on the box where it began
  std::string mExpectedServer; // id of the server that may run it
  std::string mWorkspace;      // whose key the request came with
  // From backend servers.
  std::string mNotRun;    // present when the server did not run the request
  std::string mSignature; // present on each answer that the server made whole
  std::string mLoad;      // "running,waiting,slots"
  // Whether callers are told the outcome of each request in headers.
  bool mTellOutcome = false;

  friend auto operator<=>(const EdgeHeaders&, const EdgeHeaders&) = default;
};

} // namespace porttiller
