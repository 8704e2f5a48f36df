#include "porttiller/config/Resources.h"

#include "porttiller/config/JsonText.h"

#include <Poco/String.h>
#include <set>

namespace porttiller {

namespace {

constexpr IntegerRange kSlots{ .mMin = 1, .mMax = 100'000 };
constexpr IntegerRange kFloorSlots{ .mMin = 0, .mMax = 10'000'000 };
constexpr IntegerRange kDeadlineMs{ .mMin = 1, .mMax = 600'000 };
constexpr IntegerRange kWeight{ .mMin = 0, .mMax = 1'000'000 };
constexpr IntegerRange kAttempts{ .mMin = 0, .mMax = 100 };
constexpr IntegerRange kBurst{ .mMin = 0, .mMax = 1'000'000 };
constexpr IntegerRange kLimitBytes{ .mMin = 1, .mMax = 1 << 30 };
constexpr IntegerRange kLimitMs{ .mMin = 1, .mMax = 3'600'000 };
constexpr IntegerRange kRequests{ .mMin = 0, .mMax = 1'000'000'000 };
constexpr IntegerRange kPercent{ .mMin = 0, .mMax = 100 };
constexpr int kDefaultRetryPercent = 20;
constexpr int kDefaultRetryBurst = 50;
constexpr int kDefaultDeadlineMs = 5000;
constexpr int kDefaultConnections = 100;

Resource
ParseService(const std::string& aName, FieldReader& aReader)
{
  ServiceSpec spec{ .mName = ServiceName(aName) };
  spec.mFloorSlots =
    static_cast<int>(aReader.IntegerOr("floor_slots", kFloorSlots, 0));
  const auto detection = aReader.StringOr("detection", "careful");
  if (detection == "fast") {
    spec.mDetection = DetectionSetting::kFast;
  } else if (detection != "careful") {
    aReader.Fail("detection", "must be \"careful\" or \"fast\"");
  }
  spec.mDefaultDeadline = Millis(
    aReader.IntegerOr("default_deadline_ms", kDeadlineMs, kDefaultDeadlineMs));
  spec.mRetryPercent = static_cast<int>(
    aReader.IntegerOr("retry_percent", kPercent, kDefaultRetryPercent));
  spec.mRetryBurst = static_cast<int>(
    aReader.IntegerOr("retry_burst", kBurst, kDefaultRetryBurst));
  spec.mHealthPath = aReader.StringOr("health_path", "");
  return spec;
}

Resource
ParseBackendServer(const std::string& aName, FieldReader& aReader)
{
  BackendServerSpec spec{ .mName = BackendServerName(aName) };
  spec.mService = ServiceName(aReader.String("service"));
  spec.mBox = BoxName(aReader.String("box"));
  spec.mAddress = aReader.RemoteAddress("address");
  spec.mSlots = static_cast<int>(aReader.Integer("slots", kSlots));
  spec.mConnections = static_cast<int>(
    aReader.IntegerOr("connections", kSlots, kDefaultConnections));
  return spec;
}

std::optional<Millis>
OptionalMillis(FieldReader& aReader, const std::string& aName)
{
  if (!aReader.Has(aName)) {
    return std::nullopt;
  }
  return Millis(aReader.Integer(aName, kDeadlineMs));
}

// "service" is shorthand for a split with a single target.
std::vector<RouteTarget>
ParseTargets(FieldReader& aReader)
{
  std::vector<RouteTarget> targets;
  for (auto& part : aReader.Children("split")) {
    RouteTarget target{ .mService = ServiceName(part.String("service")) };
    target.mWeight = static_cast<int>(part.Integer("weight", kWeight));
    part.RejectUnknownKeys();
    targets.push_back(target);
  }
  if (targets.empty()) {
    targets.push_back({ .mService = ServiceName(aReader.String("service")) });
  }
  int sum = 0;
  for (const auto& target : targets) {
    sum += target.mWeight;
  }
  if (sum == 0) {
    aReader.Fail("split", "must have a weight above 0");
  }
  return targets;
}

// The value of "priority"; null if absent or invalid.
std::optional<Priority>
OptionalPriority(FieldReader& aReader)
{
  const auto text = aReader.StringOr("priority", "");
  const auto priority = ParsePriority(text);
  if (!priority && !text.empty()) {
    aReader.Fail("priority",
                 "must be \"critical\", \"normal\" or \"sheddable\"");
  }
  return priority;
}

Resource
ParseRoute(const std::string& aName, FieldReader& aReader)
{
  RouteSpec spec{ .mName = aName };
  spec.mPathPrefix = aReader.String("path_prefix");
  if (!spec.mPathPrefix.empty() && spec.mPathPrefix.front() != '/') {
    aReader.Fail("path_prefix", "must start with \"/\"");
  }
  spec.mHost = Poco::toLower(aReader.StringOr("host", ""));
  spec.mMethods = aReader.Strings("methods");
  spec.mTargets = ParseTargets(aReader);
  spec.mTimeout = OptionalMillis(aReader, "timeout_ms");
  spec.mTarget = OptionalMillis(aReader, "target_ms");
  spec.mMaxAttempts =
    static_cast<int>(aReader.IntegerOr("max_attempts", kAttempts, 0));
  spec.mPriority = OptionalPriority(aReader).value_or(Priority::kNormal);
  spec.mPublic = aReader.OptionalBool("public").value_or(false);
  spec.mLargeResponses =
    aReader.OptionalBool("large_responses").value_or(false);
  spec.mRepeatable = aReader.OptionalBool("repeatable");
  return spec;
}

Resource
ParseBox(const std::string& aName, FieldReader& aReader)
{
  BoxSpec spec{ .mName = BoxName(aName) };
  if (aName.find('/') != std::string::npos) {
    aReader.Fail("(name)", "must not contain \"/\"");
  }
  spec.mZone = AvailabilityZone(aReader.String("zone"));
  spec.mHomeAddress = aReader.RemoteAddress("home_address");
  spec.mControlAddress = aReader.RemoteAddress("control_address");
  const auto state = aReader.StringOr("state", "live");
  if (state == "leaving") {
    spec.mState = BoxState::kLeaving;
  } else if (state != "live") {
    aReader.Fail("state", "must be \"live\" or \"leaving\"");
  }
  return spec;
}

Resource
ParseLimits(const std::string& aName, FieldReader& aReader)
{
  if (aName != "callers") {
    aReader.Fail("(name)", "must be \"callers\"");
  }
  const auto bytes = [&](const char* aField) {
    return static_cast<int>(aReader.Integer(aField, kLimitBytes));
  };
  const auto time = [&](const char* aField) {
    return Millis(aReader.Integer(aField, kLimitMs));
  };
  return LimitsSpec{ .mMaxHeaderBytes = bytes("max_header_bytes"),
                     .mMaxBodyBytes = bytes("max_body_bytes"),
                     .mHeaderTimeout = time("header_timeout_ms"),
                     .mIdleTimeout = time("idle_timeout_ms") };
}

// Errors identify an API key by its position, because API keys are secrets.
std::vector<std::string>
ParseKeys(FieldReader& aReader)
{
  auto keys = aReader.Strings("keys");
  std::set<std::string> seen;
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto place = "key " + std::to_string(i + 1);
    if (!IsToken(keys[i])) {
      aReader.Fail("keys",
                   place + " must be 1 to 256 printable ASCII characters "
                           "without spaces");
    } else if (!seen.insert(keys[i]).second) {
      aReader.Fail("keys", place + " is listed twice");
    }
  }
  return keys;
}

Resource
ParseWorkspace(const std::string& aName, FieldReader& aReader)
{
  WorkspaceSpec spec{ .mName = WorkspaceName(aName) };
  if (!aName.empty() && !IsToken(aName)) {
    aReader.Fail("(name)", "must be printable ASCII without spaces");
  }
  spec.mKeys = ParseKeys(aReader);
  spec.mPriority = OptionalPriority(aReader);
  spec.mRatePerSecond =
    static_cast<double>(aReader.IntegerOr("rate_per_s", kRequests, 0));
  spec.mBurst = static_cast<double>(aReader.IntegerOr("burst", kRequests, 0));
  return spec;
}

using ParseFunction = Resource (*)(const std::string&, FieldReader&);

ParseFunction
ParserOf(const std::string& aKind)
{
  if (aKind == kServiceKind) {
    return ParseService;
  }
  if (aKind == kBackendServerKind) {
    return ParseBackendServer;
  }
  if (aKind == kRouteKind) {
    return ParseRoute;
  }
  if (aKind == kLimitsKind) {
    return ParseLimits;
  }
  if (aKind == kWorkspaceKind) {
    return ParseWorkspace;
  }
  return aKind == kBoxKind ? ParseBox : nullptr;
}

} // namespace

bool
IsConfigKind(const std::string& aKind)
{
  return ParserOf(aKind) != nullptr;
}

tl::expected<Resource, FieldErrors>
ParseResource(const std::string& aKind,
              const std::string& aName,
              const std::string& aSpecJson)
{
  const auto parse = ParserOf(aKind);
  if (parse == nullptr) {
    return tl::make_unexpected(
      FieldErrors{ { "kind", "\"" + aKind + "\" is not a known kind" } });
  }
  auto document = ParseJsonObject(aSpecJson);
  if (!document) {
    return tl::make_unexpected(document.error());
  }
  FieldErrors errors;
  FieldReader reader(*document, "spec", errors);
  if (aName.empty()) {
    reader.Fail("(name)", "must not be empty");
  }
  auto resource = parse(aName, reader);
  reader.RejectUnknownKeys();
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return resource;
}

} // namespace porttiller
