// The objects that operators and the platform write, in their typed form.
// docs/API.md describes each field.
#pragma once

#include "porttiller/config/FieldReader.h"
#include "porttiller/core/Ids.h"
#include "porttiller/core/Outcome.h"
#include "porttiller/core/ServerIncarnation.h"
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
  // Retries that the whole fleet may make beyond that share, in a few seconds.
  int mRetryBurst = 50;
  // Where a backend server answers health checks; empty: it has none.
  std::string mHealthPath;

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
  bool mLeaving = false; // finishes what it has and takes nothing new
  // Of its start, by its own clock; null where servers do not report it.
  std::optional<std::int64_t> mStartMs;

  ServerIncarnation Incarnation() const
  {
    return ServerIncarnation(mName, mStartMs);
  }

  friend auto operator<=>(const BackendServerSpec&,
                          const BackendServerSpec&) = default;
};

// A part of a route's requests.
struct RouteTarget
{
  ServiceName mService;
  int mWeight = 1; // relative to the other targets of the route

  friend auto operator<=>(const RouteTarget&, const RouteTarget&) = default;
};

struct RouteSpec
{
  std::string mName;
  std::string mHost; // lower case, without a port; empty: any host
  // Whole segments: "/a" matches "/a" and "/a/b", and "/a/" only the latter.
  std::string mPathPrefix;
  std::vector<std::string> mMethods; // empty: every method
  std::vector<RouteTarget> mTargets; // at least one
  Priority mPriority = Priority::kNormal;
  // Null: GET and HEAD are repeatable and nothing else is.
  std::optional<bool> mRepeatable;
  // The longest that a request is held; null: as long as its caller waits.
  std::optional<Millis> mTimeout;
  // An answer within this time is worth the most; null: nothing is known.
  std::optional<Millis> mTarget;
  int mMaxAttempts = 0; // backend servers for one request; 0: no limit here
  bool mPublic = false; // asks nobody for a key

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

// What callers may send, and how long they may take. One object, "callers".
struct LimitsSpec
{
  int mMaxHeaderBytes = 0;
  int mMaxBodyBytes = 0;
  Millis mHeaderTimeout{ 0 }; // from the first byte of a request to its last
  Millis mIdleTimeout{ 0 };   // of a connection between two requests

  friend auto operator<=>(const LimitsSpec&, const LimitsSpec&) = default;
};

// Whose requests these are, and how many there may be. Keys are secrets: they
// go into no log, dump, metric or error.
struct WorkspaceSpec
{
  WorkspaceName mName;
  std::vector<std::string> mKeys;
  // Goes before the route's; null: the route's alone decides.
  std::optional<Priority> mPriority;
  // Of all boxes together; 0: no limit.
  double mRatePerSecond = 0.0;
  double mBurst = 0.0; // requests besides, after a rest

  bool Limited() const { return mRatePerSecond > 0.0; }

  friend auto operator<=>(const WorkspaceSpec&, const WorkspaceSpec&) = default;
};

using Resource = std::variant<ServiceSpec,
                              BackendServerSpec,
                              RouteSpec,
                              BoxSpec,
                              LimitsSpec,
                              WorkspaceSpec>;

inline constexpr const char* kServiceKind = "Service";
inline constexpr const char* kBackendServerKind = "BackendServer";
inline constexpr const char* kRouteKind = "Route";
inline constexpr const char* kBoxKind = "Box";
inline constexpr const char* kLimitsKind = "Limits";
inline constexpr const char* kWorkspaceKind = "Workspace";

// True for the six kinds above; other kinds are no configuration.
bool
IsConfigKind(const std::string& aKind);

// Checks one object by itself. Paths in the errors start at "spec".
tl::expected<Resource, FieldErrors>
ParseResource(const std::string& aKind,
              const std::string& aName,
              const std::string& aSpecJson);

} // namespace porttiller
