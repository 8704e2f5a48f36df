// An object of the platform's store, or a peer's record, that cannot be read.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace porttiller {

enum class UnreadableReason
{
  kItem,     // no object with metadata
  kName,     // no name, or not a string
  kVersion,  // no version, or not a number
  kSpec,     // the contents are missing or wrong
  kOwner,    // its name is not one that its contents may have
  kDocument, // the operator's configuration document is wrong
  kMessage   // in a control message
};

inline constexpr int kUnreadableReasonCount = 7;

const char*
ToText(UnreadableReason aReason);

// Another writer's, most likely: it is left out and counted, and what stands
// beside it is used.
struct UnreadableObject
{
  std::string mKind;
  std::string mName;          // empty: cannot be read
  std::uint64_t mVersion = 0; // 0: cannot be read
  UnreadableReason mReason = UnreadableReason::kItem;
  std::string mDetail;

  friend auto operator<=>(const UnreadableObject&,
                          const UnreadableObject&) = default;
};

// Called with objects that were left out; the list may be empty.
using UnreadableListener =
  std::function<void(const std::vector<UnreadableObject>&)>;

} // namespace porttiller
