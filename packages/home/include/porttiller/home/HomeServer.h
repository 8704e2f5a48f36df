// The home role's HTTP server: attempts from other boxes' entries.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/home/Home.h"
#include "porttiller/http/HttpListener.h"

#include <memory>

namespace porttiller {

// Owned by the node.
class HomeServer
{
public:
  static tl::expected<std::unique_ptr<HomeServer>, std::string> Make(
    const Settings& aSettings,
    Home& aHome);

  // Waits until every attempt has its answer.
  void Stop();

private:
  HomeServer(const Settings& aSettings, Home& aHome);

  HttpReply Serve(HttpCall& aCall);

  const EdgeHeaders mNames;
  Home& mHome;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
