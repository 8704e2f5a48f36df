// Readiness endpoint for the platform: whether this daemon accepts requests.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/http/HttpListener.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by the node.
class ReadinessServer
{
public:
  static tl::expected<std::unique_ptr<ReadinessServer>, std::string> Make(
    const ReadinessSettings& aSettings,
    std::function<bool()> aReady);

private:
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
