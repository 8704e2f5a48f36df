// Exports the state of a daemon: gauges and the JSON of /state.
#include "NodePartsPriv.h"

#include "porttiller/config/JsonText.h"
#include "porttiller/telemetry/Log.h"

#include <Poco/JSON/Array.h>
#include <map>

namespace porttiller {

void
Node::Parts::RefreshGauges()
{
  const auto traffic = mTransport->Traffic();
  mMetrics.ControlBytesSent().Set(static_cast<double>(traffic.mBytesSent));
  mMetrics.ControlBytesReceived().Set(
    static_cast<double>(traffic.mBytesReceived));
  std::map<std::string, std::uint64_t> byKind;
  for (const auto& [kind, bytes] : traffic.mSentByKind) {
    byKind[ToText(kind)] += bytes;
  }
  for (const auto& [kind, bytes] : byKind) {
    mMetrics.ControlBytesSentOf(kind).Set(static_cast<double>(bytes));
  }
  mMetrics.UnreadableMessages().Set(static_cast<double>(traffic.mUnreadable));
  mMetrics.LogLinesDropped().Set(static_cast<double>(DroppedLogLines()));
  mMetrics.LateReplies().Set(static_cast<double>(traffic.mLateReplies));
  mMetrics.ReplacedLinks().Set(static_cast<double>(traffic.mReplacedLinks));
  mMetrics.CrashRecords().Set(static_cast<double>(mCrashMonitor.Size()));
  mMetrics.QuarantinedRequests().Set(
    static_cast<double>(mCrashMonitor.Quarantined()));
  mMetrics.UnansweredRequests().Set(static_cast<double>(traffic.mUnanswered));
  const auto hedges = mHome.Hedges();
  mMetrics.HedgesAdmitted().Set(static_cast<double>(hedges.mAdmitted));
  mMetrics.HedgesRejected().Set(static_cast<double>(hedges.mRejected));
  mMetrics.MalformedAnswers().Set(
    static_cast<double>(mHome.MalformedAnswers()));
  const auto now = Now();
  for (const auto& [kind, budget] : BodyBudgetsByKind()) {
    mMetrics.BodyBytesOf(kind).Set(static_cast<double>(budget->Reserved()));
    mMetrics.BodiesWaitingOf(kind).Set(static_cast<double>(budget->Waiting()));
  }
  int limited = 0;
  double limit = 0.0;
  int sent = 0;
  for (const auto& server : mHome.Servers()) {
    const auto& throttle = server->Throttle();
    const auto rate = throttle.Limit();
    limited += rate ? 1 : 0;
    limit += rate.value_or(0.0);
    sent += rate ? throttle.RecentlySent(now) : 0;
  }
  mMetrics.LimitedServers().Set(limited);
  mMetrics.ServerLimit().Set(limit);
  mMetrics.LimitedServersSent().Set(sent);
}

std::map<std::string, const BodyBudget*>
Node::Parts::BodyBudgetsByKind() const
{
  return { { "caller-requests", mBodyBudgets.mCallerRequests.get() },
           { "peer-requests", mBodyBudgets.mPeerRequests.get() },
           { "home-answers", mBodyBudgets.mHomeAnswers.get() },
           { "server-answers", mBodyBudgets.mServerAnswers.get() } };
}

// Servers in the configuration that have not announced that they are leaving.
int
Node::Parts::ServersInUse() const
{
  const auto snapshot = mConfig->Current();
  int count = 0;
  if (snapshot) {
    for (const auto& [name, service] : snapshot->mServices) {
      for (const auto& server : service.mServers) {
        count += server.mLeaving ? 0 : 1;
      }
    }
  }
  return count;
}

std::string
Node::Parts::StateText() const
{
  Poco::JSON::Object state(Poco::JSON_PRESERVE_KEY_ORDER);
  state.set("box", mSettings.mBox.Value());
  state.set("zone", mSettings.mZone.Value());
  state.set("incarnation", std::to_string(mIncarnation.Value()));
  state.set("draining", mDraining.load());
  state.set("revision", mConfig->Own().mRevision);
  state.set("platform_reachable", mConfig->PlatformReachable());
  state.set("watcher", mConfig->IsWatcher());
  const auto store = mConfig->Store();
  state.set("store_cursor", store.mCursor);
  if (store.mSinceLastAnswer) {
    state.set("store_answer_age_ms", store.mSinceLastAnswer->count());
  }
  state.set("servers_in_use", ServersInUse());
  Poco::JSON::Array servers;
  for (const auto& server : mHome.Servers()) {
    Poco::JSON::Object item(Poco::JSON_PRESERVE_KEY_ORDER);
    item.set("name", server->Spec().mName.Value());
    item.set("incarnation", server->Spec().Incarnation().ToString());
    item.set("service", server->Spec().mService.Value());
    item.set("phase", ToText(server->Phase()));
    item.set("state", server->Dump());
    servers.add(item);
  }
  state.set("servers", servers);
  Poco::JSON::Object bodies(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto& [kind, budget] : BodyBudgetsByKind()) {
    Poco::JSON::Object item(Poco::JSON_PRESERVE_KEY_ORDER);
    item.set("reserved_bytes", budget->Reserved());
    item.set("waiting", budget->Waiting());
    item.set("largest_bytes", budget->MaxBody());
    bodies.set(kind, item);
  }
  state.set("bodies", bodies);
  state.set("members", mMembership->Dump());
  state.set("view", mView.Dump());
  state.set("workspaces",
            mConfig->Current() ? mConfig->Current()->mWorkspaces->Size() : 0);
  state.set("limits_here", mGate.Dump());
  state.set("limits_collected", mLimits->Dump());
  constexpr std::size_t kMaxCrashRecords = 64;
  state.set("crashing_requests", mCrashMonitor.Dump(kMaxCrashRecords));
  return ToJsonText(state) + "\n";
}

} // namespace porttiller
