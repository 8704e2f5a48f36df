// The home role's HTTP server: attempts from other boxes' entries.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/home/Home.h"
#include "porttiller/hop/ServerHints.h"
#include "porttiller/http/HttpListener.h"

#include <functional>
#include <memory>

namespace porttiller {

// What the box that sent a request should know of other servers; told with the
// answer.
using HintSource = std::function<ServerHints(const BoxName&)>;

// Owned by the node.
class HomeServer
{
public:
  static tl::expected<std::unique_ptr<HomeServer>, std::string> Make(
    const Settings& aSettings,
    Home& aHome,
    HintSource aHints);

  // Waits until every attempt has its answer.
  void Stop();

private:
  HomeServer(const Settings& aSettings, Home& aHome, HintSource aHints);

  HttpReply Serve(HttpCall& aCall);

  const EdgeHeaders mNames;
  Home& mHome;
  const HintSource mHints;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
