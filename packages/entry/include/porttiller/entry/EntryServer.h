// HTTP server of the entry role: passes callers' requests through the filter
// chain.
#pragma once

#include "porttiller/entry/Filters.h"
#include "porttiller/http/HttpListener.h"

#include <functional>
#include <memory>
#include <optional>

namespace porttiller {

// Returns the configuration in force; null before one has been received.
using SnapshotSource = std::function<SnapshotPtr()>;

// Owned by the node.
class EntryServer
{
public:
  static tl::expected<std::unique_ptr<EntryServer>, std::string> Make(
    const Settings& aSettings,
    SnapshotSource aSnapshot,
    AttemptDependencies aDependencies,
    std::shared_ptr<BodyBudget> aBodyBudget = nullptr);

  // Closes each connection after its next answer; still accepts requests.
  void BeginDrain() { mListener->BeginDrain(); }
  // Limits what callers may send, also on open connections. Null: the limits of
  // the settings.
  void SetLimits(const std::optional<LimitsSpec>& aLimits);
  // Waits until every request has been answered.
  void Stop();

private:
  EntryServer(const Settings& aSettings,
              SnapshotSource aSnapshot,
              AttemptDependencies aDependencies,
              std::shared_ptr<BodyBudget> aBodyBudget);

  HttpListenerOptions ListenerOptions() const;
  HttpReply Serve(HttpCall& aCall);
  HttpReply Reject(ListenerRejection aRejection,
                   std::optional<Millis> aRetryAfter) const;
  RequestContext MakeContext(HttpCall& aCall) const;
  HttpReply ToReply(CallerAnswer aAnswer, const std::string& aRequestId) const;
  void LogAnswer(const RequestContext& aContext,
                 const CallerAnswer& aAnswer) const;

  const Settings& mSettings;
  const SnapshotSource mSnapshot;
  const EdgeHeaders mNames;
  AttemptDependencies mDependencies;
  const std::vector<Filter> mFilters;
  const std::shared_ptr<BodyBudget> mBodyBudget; // of requests; may be null
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
