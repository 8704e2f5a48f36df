// The HTTP server of the home role; takes attempts from entries on other boxes.
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
    Home& aHome,
    std::shared_ptr<BodyBudget> aBodyBudget = nullptr);

  // Stops after every attempt has been answered.
  void Stop();

private:
  HomeServer(const Settings& aSettings, Home& aHome);

  HttpReply Serve(HttpCall& aCall);

  const EdgeHeaders mNames;
  Home& mHome;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
