// One daemon: the entry and home roles, the controllers, and their servers.
#pragma once

#include "porttiller/config/Settings.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

struct NodeError
{
  std::string mDetail;
};

// Serves from Make to Drain.
class Node
{
public:
  // Opens every listening socket. The error names the address that could not be
  // bound.
  static tl::expected<std::unique_ptr<Node>, NodeError> Make(
    Settings aSettings);

  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Planned stop: stops accepting requests and lets those in flight finish.
  // Returns after the last one or after Settings::mTiming.mDrain.
  void Drain();

  // The state of every part, as JSON.
  std::string StateText() const;

private:
  class Parts;

  explicit Node(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> mParts;
};

} // namespace porttiller
