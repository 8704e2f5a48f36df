#include "sim/FaultModel.h"

namespace porttiller::bench {

namespace {

constexpr std::int64_t kNoiseEveryMs = 4000;
constexpr double kBackgroundFailures = 0.001;
constexpr double kSickFailures = 0.5;
constexpr double kSlowFactor = 8.0;
constexpr double kCommonSlowFactor = 4.0;
constexpr double kColdFactor = 5.0;
constexpr Millis kColdTime{ 8000 };
constexpr std::int64_t kFlapMs = 3000;
constexpr std::int64_t kNoiseMs = 200;
constexpr double kNoiseFailures = 0.3;

} // namespace

FaultModel::FaultModel(FaultKind aKind, const Deployment& aDeployment)
  : mKind(aKind)
  , mDeployment(aDeployment)
{
}

bool
FaultModel::IsOn(TimePoint aNow) const
{
  return aNow >= kFaultBegins && aNow < kFaultEnds;
}

bool
FaultModel::PathCut(int aEntry, int aServer, TimePoint aNow) const
{
  return mKind == FaultKind::kPathOneWay && IsOn(aNow) &&
         aServer == kSickServer && aEntry == mDeployment.Entries() - 1;
}

void
FaultModel::OnTick(TimePoint aNow, std::mt19937_64& aRandom)
{
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(aNow - kFaultBegins).count();
  if (IsOn(aNow) && sinceMs % kNoiseEveryMs == 0) {
    mNoisyServer = static_cast<int>(
      aRandom() % static_cast<std::uint64_t>(mDeployment.mServers));
  }
}

double
FaultModel::FailureRate(int aServer, int aCallKind, TimePoint aNow) const
{
  const bool sick = aServer == kSickServer && IsOn(aNow);
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(aNow - kFaultBegins).count();
  switch (mKind) {
    case FaultKind::kGrayErrors:
    case FaultKind::kPlatformAway:
      return sick ? kSickFailures : kBackgroundFailures;
    case FaultKind::kPartialCalls:
      return sick && aCallKind == 0 ? 1.0 : kBackgroundFailures;
    case FaultKind::kFlapping:
      return sick && (sinceMs / kFlapMs) % 2 == 0 ? kSickFailures
                                                  : kBackgroundFailures;
    case FaultKind::kCommonCause:
      return IsOn(aNow) ? kSickFailures : kBackgroundFailures;
    case FaultKind::kNoiseBursts:
      return IsOn(aNow) && aServer == mNoisyServer &&
                 sinceMs % kNoiseEveryMs < kNoiseMs
               ? kNoiseFailures
               : kBackgroundFailures;
    default:
      return kBackgroundFailures;
  }
}

double
FaultModel::Slowness(int aServer, TimePoint aNow) const
{
  const bool sick = aServer == kSickServer && IsOn(aNow);
  switch (mKind) {
    case FaultKind::kGraySlow:
      return sick ? kSlowFactor : 1.0;
    case FaultKind::kCommonCause:
      return IsOn(aNow) ? kCommonSlowFactor : 1.0;
    case FaultKind::kColdStart:
      return sick && aNow < kFaultBegins + kColdTime ? kColdFactor : 1.0;
    default:
      return 1.0;
  }
}

} // namespace porttiller::bench
