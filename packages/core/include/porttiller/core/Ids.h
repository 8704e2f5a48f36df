// Names and identifiers used by every package.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace porttiller {

// A string that names one kind of thing; names of two kinds do not mix.
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

// One machine with its one daemon.
using BoxName = Name<struct BoxTag>;
// A group of boxes that fail together.
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using ServiceName = Name<struct ServiceTag>;
using BackendServerName = Name<struct BackendServerTag>;
// A customer of the fleet: whoever holds one of its keys acts for it.
using WorkspaceName = Name<struct WorkspaceTag>;

// One life of a daemon. Drawn at start from the wall clock in microseconds and
// random bits, so two lives of a box never share one.
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

// Names one attempt of one request; never used twice.
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
  // Null when the text is not an attempt id.
  static std::optional<AttemptId> Parse(std::string_view aText);

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;

private:
  BoxName mBox;
  Incarnation mIncarnation;
  std::uint64_t mSequence = 0;
};

// Whether a text can be an id from outside: printable ASCII without blanks, 256
// characters at most. Ids go into headers and log lines.
bool
IsToken(std::string_view aText);

// Null unless the whole text is a decimal number that fits.
std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText);

} // namespace porttiller
