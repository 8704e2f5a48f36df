// The objects that operators and the platform write, in their typed form.
// docs/API.md describes each field.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/Time.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace porttiller {

// "careful" weighs false ejections more, "fast" weighs detection time more.
enum class DetectionSetting
{
  kCareful,
  kFast
};

struct ServiceSpec
{
  ServiceName mName;
  // Slots of healthy capacity that ejections must leave.
  int mFloorSlots = 0;
  DetectionSetting mDetection = DetectionSetting::kCareful;
  // For requests that carry no deadline of their own.
  Millis mDefaultDeadline{ 5000 };
  // Retries as a share of first attempts.
  int mRetryPercent = 20;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

struct BackendServerSpec
{
  BackendServerName mName;
  ServiceName mService;
  BoxName mBox;
  std::string mAddress; // "ip:port", reached from its own box
  int mSlots = 1;       // requests that it runs at once
  int mConnections = 1;

  friend auto operator<=>(const BackendServerSpec&,
                          const BackendServerSpec&) = default;
};

struct RouteSpec
{
  std::string mName;
  std::string mPathPrefix; // whole segments: "/a" matches "/a" and "/a/b"
  std::vector<std::string> mMethods; // empty: every method
  ServiceName mService;
  Priority mPriority = Priority::kNormal;
  // Null: GET and HEAD are repeatable and nothing else is.
  std::optional<bool> mRepeatable;

  friend auto operator<=>(const RouteSpec&, const RouteSpec&) = default;
};

enum class BoxState
{
  kLive,
  kLeaving
};

// A line of the platform's lagging list of boxes.
struct BoxSpec
{
  BoxName mName;
  AvailabilityZone mZone;
  std::string mHomeAddress;    // "ip:port", HTTP from other boxes
  std::string mControlAddress; // "ip:port", ZeroMQ
  BoxState mState = BoxState::kLive;

  friend auto operator<=>(const BoxSpec&, const BoxSpec&) = default;
};

using Resource =
  std::variant<ServiceSpec, BackendServerSpec, RouteSpec, BoxSpec>;

inline constexpr const char* kServiceKind = "Service";
inline constexpr const char* kBackendServerKind = "BackendServer";
inline constexpr const char* kRouteKind = "Route";
inline constexpr const char* kBoxKind = "Box";

// True for the four kinds above; other kinds are no configuration.
bool
IsConfigKind(const std::string& aKind);

// Checks one object by itself. Paths in the errors start at "spec".
tl::expected<Resource, FieldErrors>
ParseResource(const std::string& aKind,
              const std::string& aName,
              const std::string& aSpecJson);

} // namespace porttiller
