// Sends requests to one backend server over pooled connections and derives the
// outcome of each attempt from the answer.
#pragma once

#include "porttiller/config/EdgeHeaders.h"
#include "porttiller/config/Resources.h"
#include "porttiller/hop/HomeTypes.h"
#include "porttiller/hop/ShutdownDeadline.h"
#include "porttiller/http/HttpPool.h"

namespace porttiller {

// Owned by LocalServer. Thread-safe.
class ServerCall
{
public:
  ServerCall(const BackendServerSpec& aSpec,
             const EdgeHeaders& aNames,
             const ShutdownDeadline& aShutdownDeadline,
             std::shared_ptr<BodyBudget> aAnswerBudget = nullptr);

  // Returns kNotRun only when nothing was sent, or when the server reports that
  // it did not run the request. The reject reason is kNoServer when another
  // server answers at the address.
  HomeAnswer Run(const HomeRequest& aRequest);

  // Connections opened to the server so far.
  std::uint64_t Opened() const { return mPool.Opened(); }
  // Whether the server's address refuses new connections, so that no process
  // listens there. Opens one connection, which a later request uses.
  bool RefusesConnections() { return mPool.Probe() == ListenerState::kRefuses; }
  // Whether an idle connection shows that the server's process still runs.
  bool HasOpenIdle() const { return mPool.HasOpenIdle(); }

private:
  HttpRequestData MakeRequest(const HomeRequest& aRequest) const;
  HomeAnswer ToHomeAnswer(const HomeRequest& aRequest, HttpAnswer aHttp);
  bool ReportsNotRun(const HttpAnswer& aHttp) const;
  static HomeAnswer RejectionOf(const HttpAnswer& aHttp);

  const BackendServerName mServer;
  const EdgeHeaders mNames;
  const ShutdownDeadline& mShutdownDeadline;
  HttpPool mPool;
};

} // namespace porttiller
