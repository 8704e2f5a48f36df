// The entry role's HTTP server: callers' requests through the filter chain.
#pragma once

#include "porttiller/node/ConfigController.h"
#include "porttiller/node/Filters.h"
#include "porttiller/node/HttpServing.h"

#include <atomic>
#include <memory>

namespace porttiller {

// Owned by the node.
class EntryServer
{
public:
  static tl::expected<std::unique_ptr<EntryServer>, std::string> Make(
    const Settings& aSettings,
    const ConfigController& aConfig,
    AttemptServices aServices);

  // Answers from now on end their connections; nothing is refused yet.
  void BeginDrain() { mDraining = true; }
  // Waits until every request has its answer.
  void Stop();

private:
  EntryServer(const Settings& aSettings,
              const ConfigController& aConfig,
              AttemptServices aServices);

  void Serve(Poco::Net::HTTPServerRequest& aRequest,
             Poco::Net::HTTPServerResponse& aResponse);
  RequestContext MakeContext(Poco::Net::HTTPServerRequest& aRequest) const;
  void Write(const RequestContext& aContext,
             const CallerAnswer& aAnswer,
             Poco::Net::HTTPServerResponse& aResponse);

  const Settings& mSettings;
  const ConfigController& mConfig;
  AttemptServices mServices;
  const std::vector<Filter> mFilters;
  std::atomic<bool> mDraining{ false };
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
