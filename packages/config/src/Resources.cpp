#include "porttiller/config/Resources.h"

#include "porttiller/config/JsonText.h"

namespace porttiller {

namespace {

constexpr IntegerRange kSlots{ .mMin = 1, .mMax = 100'000 };
constexpr IntegerRange kFloor{ .mMin = 0, .mMax = 10'000'000 };
constexpr IntegerRange kDeadlineMs{ .mMin = 1, .mMax = 600'000 };
constexpr IntegerRange kPercent{ .mMin = 0, .mMax = 100 };
constexpr int kDefaultRetryPercent = 20;
constexpr int kDefaultDeadlineMs = 5000;
constexpr int kDefaultConnections = 100;

Resource
ParseService(const std::string& aName, FieldReader& aReader)
{
  ServiceSpec spec{ .mName = ServiceName(aName) };
  spec.mFloorSlots =
    static_cast<int>(aReader.IntegerOr("floor_slots", kFloor, 0));
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
  return spec;
}

Resource
ParseBackendServer(const std::string& aName, FieldReader& aReader)
{
  BackendServerSpec spec{ .mName = BackendServerName(aName) };
  spec.mService = ServiceName(aReader.String("service"));
  spec.mBox = BoxName(aReader.String("box"));
  spec.mAddress = aReader.Address("address");
  spec.mSlots = static_cast<int>(aReader.Integer("slots", kSlots));
  spec.mConnections = static_cast<int>(
    aReader.IntegerOr("connections", kSlots, kDefaultConnections));
  return spec;
}

Resource
ParseRoute(const std::string& aName, FieldReader& aReader)
{
  RouteSpec spec{ .mName = aName };
  spec.mPathPrefix = aReader.String("path_prefix");
  if (!spec.mPathPrefix.empty() && spec.mPathPrefix.front() != '/') {
    aReader.Fail("path_prefix", "must start with \"/\"");
  }
  if (spec.mPathPrefix.size() > 1 && spec.mPathPrefix.back() == '/') {
    aReader.Fail("path_prefix", "must not end with \"/\"");
  }
  spec.mMethods = aReader.Strings("methods");
  spec.mService = ServiceName(aReader.String("service"));
  const auto priority = ParsePriority(aReader.StringOr("priority", "normal"));
  if (priority) {
    spec.mPriority = *priority;
  } else {
    aReader.Fail("priority",
                 "must be \"critical\", \"normal\" or \"sheddable\"");
  }
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
  spec.mHomeAddress = aReader.Address("home_address");
  spec.mControlAddress = aReader.Address("control_address");
  const auto state = aReader.StringOr("state", "live");
  if (state == "leaving") {
    spec.mState = BoxState::kLeaving;
  } else if (state != "live") {
    aReader.Fail("state", "must be \"live\" or \"leaving\"");
  }
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
  reader.RefuseUnknown();
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return resource;
}

} // namespace porttiller
