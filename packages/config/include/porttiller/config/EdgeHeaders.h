// Names of the headers that callers, the proxy and backend servers use to
// describe a request. An empty name: the header is not used.
#pragma once

#include <string>

namespace porttiller {

// Immutable; selected by the settings at start.
struct EdgeHeaders
{
  // From callers.
  std::string mDeadline;  // remaining milliseconds that the caller waits
  std::string mRequestId; // also present in the server's answer
  std::string mKey;       // API key of a workspace; the entry removes it
  // To backend servers.
  std::string mServerDeadline; // remaining milliseconds
  std::string mCallerService;  // service on the box that accepted the request
  std::string mExpectedServer; // ID of the only server that may run it
  std::string mWorkspace;      // workspace of the request's API key
  // From backend servers.
  std::string mNotRun;      // present if the server did not run the request
  std::string mSignature;   // present in each answer that the server completed
  std::string mLoad;        // value "running,waiting,slots"
  std::string mServerLimit; // requests per second that it accepts
  std::string mServerLeaving; // "1" in each answer while it shuts down
  std::string mServerId;      // its ID, in answers to health checks
  // Whether answers to callers have headers with the outcome of the request.
  bool mReportOutcome = false;

  friend auto operator<=>(const EdgeHeaders&, const EdgeHeaders&) = default;
};

} // namespace porttiller
