// Names and identifiers used by every package.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace porttiller {

// A strongly typed name. Names with different tags are different types, which
// cannot be assigned to or compared with each other.
template<typename Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool Empty() const { return mValue.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;

private:
  std::string mValue;
};

// A machine of the fleet; one porttiller daemon runs on it.
using BoxName = Name<struct BoxTag>;
// A failure domain: boxes that can fail together.
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using ServiceName = Name<struct ServiceTag>;
using BackendServerName = Name<struct BackendServerTag>;
// A customer account (tenant). A request with one of its API keys belongs to
// it.
using WorkspaceName = Name<struct WorkspaceTag>;

// Identifies one run of a daemon process. Made at start from the wall clock in
// microseconds and random bits, so that no two runs on a box share a value.
// 0 means unknown.
class Incarnation
{
public:
  Incarnation() = default;
  explicit Incarnation(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  std::uint64_t Value() const { return mValue; }
  bool Known() const { return mValue != 0; }

  friend auto operator<=>(const Incarnation&, const Incarnation&) = default;

private:
  std::uint64_t mValue = 0;
};

// Identifies one attempt of one request; never reused.
// Text form: "<box>/<incarnation>/<sequence>".
class AttemptId
{
public:
  AttemptId() = default;
  AttemptId(BoxName aBox, Incarnation aIncarnation, std::uint64_t aSequence);

  const BoxName& Box() const { return mBox; }
  Incarnation BoxIncarnation() const { return mIncarnation; }
  std::uint64_t Sequence() const { return mSequence; }

  std::string ToString() const;
  // Null when the text is not an attempt ID.
  static std::optional<AttemptId> Parse(std::string_view aText);

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

private:
  BoxName mBox;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
};

// Whether aText may be used as an identifier that another process supplies: 1
// to 256 printable ASCII characters without spaces. Such identifiers are copied
// into headers and log lines.
bool
IsToken(std::string_view aText);

// Null unless the whole text is a decimal number that fits in 64 bits.
std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText);

} // namespace porttiller
