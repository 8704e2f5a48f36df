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
  // The error names the address that is taken.
  static tl::expected<std::unique_ptr<Node>, NodeError> Make(
    Settings aSettings);

  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // A planned stop: cuts no request in flight, and returns once the last has
  // its answer or Settings::mTiming.mDrain has passed.
  void Drain();

  // The state of every part, as JSON.
  std::string StateText() const;

private:
  class Parts;

  explicit Node(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> mParts;
};

} // namespace porttiller
