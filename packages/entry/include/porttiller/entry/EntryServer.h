// The entry role's HTTP server: callers' requests through the filter chain.
#pragma once

#include "porttiller/entry/Filters.h"
#include "porttiller/http/HttpListener.h"

#include <functional>
#include <memory>

namespace porttiller {

// The configuration in force; null before any is known.
using SnapshotSource = std::function<SnapshotPtr()>;

// Owned by the node.
class EntryServer
{
public:
  static tl::expected<std::unique_ptr<EntryServer>, std::string> Make(
    const Settings& aSettings,
    SnapshotSource aSnapshot,
    AttemptServices aServices);

  // Answers from now on end their connections; nothing is refused yet.
  void BeginDrain() { mListener->BeginDrain(); }
  // What callers may send, from the next connection on.
  void SetLimits(const LimitsSpec& aLimits);
  // Waits until every request has its answer.
  void Stop();

private:
  EntryServer(const Settings& aSettings,
              SnapshotSource aSnapshot,
              AttemptServices aServices);

  HttpListenerOptions ListenerOptions() const;
  HttpReply Serve(HttpCall& aCall);
  RequestContext MakeContext(HttpCall& aCall) const;
  HttpReply ToReply(CallerAnswer aAnswer, const std::string& aRequestId) const;
  void LogAnswer(const RequestContext& aContext,
                 const CallerAnswer& aAnswer) const;

  const Settings& mSettings;
  const SnapshotSource mSnapshot;
  const EdgeHeaders mNames;
  AttemptServices mServices;
  const std::vector<Filter> mFilters;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
