// The entry role's HTTP server: callers' requests through the filter chain.
#pragma once

#include "porttiller/http/HttpListener.h"
#include "porttiller/node/ConfigController.h"
#include "porttiller/node/Filters.h"

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
  void BeginDrain() { mListener->BeginDrain(); }
  // What callers may send, from the next connection on.
  void SetLimits(const LimitsSpec& aLimits);
  // Waits until every request has its answer.
  void Stop();

private:
  EntryServer(const Settings& aSettings,
              const ConfigController& aConfig,
              AttemptServices aServices);

  HttpListenerOptions ListenerOptions() const;
  HttpReply Serve(HttpCall& aCall);
  RequestContext MakeContext(HttpCall& aCall) const;
  HttpReply ToReply(CallerAnswer aAnswer, const std::string& aRequestId) const;
  void LogAnswer(const RequestContext& aContext,
                 const CallerAnswer& aAnswer) const;

  const Settings& mSettings;
  const ConfigController& mConfig;
  const EdgeHeaders mNames;
  AttemptServices mServices;
  const std::vector<Filter> mFilters;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
