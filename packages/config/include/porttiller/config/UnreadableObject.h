// Describes an object of the platform's store, or a record from a peer, that
// cannot be decoded.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace porttiller {

enum class UnreadableReason
{
  kItem,     // not an object with metadata
  kName,     // name missing or not a string
  kVersion,  // version missing or not a number
  kSpec,     // contents missing or invalid
  kOwner,    // the object's name does not match its contents
  kDocument, // the operator's configuration document is invalid
  kMessage   // object in a control message
};

inline constexpr int kUnreadableReasonCount = 7;

const char*
ToText(UnreadableReason aReason);

// Most likely written by another program. It is skipped and counted, and the
// other objects are used.
struct UnreadableObject
{
  std::string mKind;
  std::string mName;          // empty: unreadable
  std::uint64_t mVersion = 0; // 0: unreadable
  UnreadableReason mReason = UnreadableReason::kItem;
  std::string mDetail;

  friend auto operator<=>(const UnreadableObject&,
                          const UnreadableObject&) = default;
};

// Called with the objects that were skipped; the list may be empty.
using UnreadableListener =
  std::function<void(const std::vector<UnreadableObject>&)>;

} // namespace porttiller
