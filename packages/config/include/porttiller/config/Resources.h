// Typed form of the configuration objects that operators and the platform
// write. docs/API.md describes the fields.
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

// How a service detects failing servers: "careful" minimizes false ejections,
// "fast" minimizes detection time.
enum class DetectionSetting
{
  kCareful,
  kFast
};

struct ServiceSpec
{
  ServiceName mName;
  // Minimum capacity, in slots, that ejections must leave to the service.
  int mFloorSlots = 0;
  DetectionSetting mDetection = DetectionSetting::kCareful;
  // For requests without a deadline.
  Millis mDefaultDeadline{ 5000 };
  // Allowed retries, as a percentage of first attempts.
  int mRetryPercent = 20;
  // Additional retries that the whole fleet may make within a few seconds.
  int mRetryBurst = 50;
  // Path of the health check of a backend server; empty: no health checks.
  std::string mHealthPath;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

struct BackendServerSpec
{
  BackendServerName mName;
  ServiceName mService;
  BoxName mBox;
  std::string mAddress;  // "ip:port", connected to only from its own box
  int mSlots = 1;        // requests that it runs concurrently
  int mConnections = 1;  // limit of open connections to it
  bool mLeaving = false; // finishes its requests and gets no new ones
  // Its start time in Unix milliseconds, by its own clock; null if the server
  // does not report it.
  std::optional<std::int64_t> mStartMs;

  ServerIncarnation Incarnation() const
  {
    return ServerIncarnation(mName, mStartMs);
  }

  friend auto operator<=>(const BackendServerSpec&,
                          const BackendServerSpec&) = default;
};

// A service that receives a share of a route's requests.
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
  // Matches whole segments: "/a" matches "/a" and "/a/b", "/a/" matches "/a/b"
  // but not "/a".
  std::string mPathPrefix;
  std::vector<std::string> mMethods; // empty: every method
  std::vector<RouteTarget> mTargets; // at least one
  Priority mPriority = Priority::kNormal;
  // Whether requests are idempotent. Null: only GET and HEAD are.
  std::optional<bool> mRepeatable;
  // Upper limit of a request's time; null: the caller's deadline applies.
  std::optional<Millis> mTimeout;
  // Latency target; null: none is set.
  std::optional<Millis> mTarget;
  int mMaxAttempts = 0; // backend servers tried per request; 0: no limit
  bool mPublic = false; // requires no API key
  // Responses are large, so that servers in the entry's own availability zone
  // are preferred more strongly.
  bool mLargeResponses = false;

  friend auto operator<=>(const RouteSpec&, const RouteSpec&) = default;
};

enum class BoxState
{
  kLive,
  kLeaving
};

// An entry of the platform's list of boxes, which may be out of date.
struct BoxSpec
{
  BoxName mName;
  AvailabilityZone mZone;
  std::string mHomeAddress;    // "ip:port" for HTTP from other boxes
  std::string mControlAddress; // "ip:port" for ZeroMQ
  BoxState mState = BoxState::kLive;

  friend auto operator<=>(const BoxSpec&, const BoxSpec&) = default;
};

// Size and time limits for callers. The only object of this kind is "callers".
struct LimitsSpec
{
  int mMaxHeaderBytes = 0;
  int mMaxBodyBytes = 0;
  Millis mHeaderTimeout{ 0 }; // from the first to the last byte of a request
  Millis mIdleTimeout{ 0 };   // of a connection between two requests

  friend auto operator<=>(const LimitsSpec&, const LimitsSpec&) = default;
};

// A customer account with its API keys and rate limit. API keys are secrets and
// must not appear in logs, dumps, metrics or errors.
struct WorkspaceSpec
{
  WorkspaceName mName;
  std::vector<std::string> mKeys; // API keys
  // Overrides the priority of the route; null: the route's priority applies.
  std::optional<Priority> mPriority;
  // Limit over all boxes; 0: no limit.
  double mRatePerSecond = 0.0;
  double mBurst = 0.0; // additional requests after an idle period

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

// Whether aKind is one of the six kinds above.
bool
IsConfigKind(const std::string& aKind);

// Parses and validates one object, without its references to other objects.
// Paths in errors start with "spec".
tl::expected<Resource, FieldErrors>
ParseResource(const std::string& aKind,
              const std::string& aName,
              const std::string& aSpecJson);

} // namespace porttiller
