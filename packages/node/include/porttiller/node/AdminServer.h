// HTTP server for operators: /metrics, /state and /health of this daemon, and
// POST /requests/DIGEST/clear.
#pragma once

#include "porttiller/core/RequestDigest.h"
#include "porttiller/http/HttpListener.h"
#include "porttiller/telemetry/Metrics.h"

#include <functional>
#include <memory>

namespace porttiller {

struct AdminSources
{
  std::function<void()> mRefresh;      // updates the gauges for /metrics
  std::function<std::string()> mState; // JSON
  std::function<bool()> mDraining;
  // Ends the quarantine of a request; false if nothing counts against it.
  std::function<bool(const RequestDigest&)> mClearRequest;
};

// Owned by the node.
class AdminServer
{
public:
  static tl::expected<std::unique_ptr<AdminServer>, std::string> Make(
    const std::string& aAddress,
    const Metrics& aMetrics,
    AdminSources aSources);

private:
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
