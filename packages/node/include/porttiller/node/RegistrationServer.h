// Receives the heartbeats and leave messages of the backend server on this box.
#pragma once

#include "porttiller/config/Settings.h"
#include "porttiller/control/DirectoryController.h"
#include "porttiller/http/HttpListener.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

// Owned by the node.
class RegistrationServer
{
public:
  static tl::expected<std::unique_ptr<RegistrationServer>, std::string> Make(
    const Settings& aSettings,
    DirectoryController& aDirectory);

private:
  std::unique_ptr<HttpListener> mListener;
};

} // namespace porttiller
