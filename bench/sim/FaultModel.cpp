#include "sim/FaultModel.h"

namespace porttiller::bench {

namespace {

constexpr std::int64_t kNoiseEveryMs = 4000;
constexpr double kBackgroundFailureRate = 0.001;
constexpr double kFaultyFailureRate = 0.5;
constexpr double kSlowFactor = 8.0;
constexpr double kCommonSlowFactor = 4.0;
constexpr double kColdFactor = 5.0;
constexpr Millis kColdTime{ 8000 };
constexpr std::int64_t kFlapMs = 3000;
constexpr std::int64_t kNoiseMs = 200;
constexpr double kNoiseFailureRate = 0.3;

} // namespace

FaultModel::FaultModel(FaultKind aKind, const Deployment& aDeployment)
  : mKind(aKind)
  , mDeployment(aDeployment)
{
}

bool
FaultModel::IsActive(TimePoint aNow) const
{
  return aNow >= kFaultBegins && aNow < kFaultEnds;
}

bool
FaultModel::PathCut(int aEntry, int aServer, TimePoint aNow) const
{
  return mKind == FaultKind::kPathOneWay && IsActive(aNow) &&
         aServer == kFaultyServer && aEntry == mDeployment.Entries() - 1;
}

void
FaultModel::OnTick(TimePoint aNow, std::mt19937_64& aRandom)
{
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(aNow - kFaultBegins).count();
  if (IsActive(aNow) && sinceMs % kNoiseEveryMs == 0) {
    mNoisyServer = static_cast<int>(
      aRandom() % static_cast<std::uint64_t>(mDeployment.mServers));
  }
}

double
FaultModel::FailureRate(int aServer, int aCallKind, TimePoint aNow) const
{
  const bool faulty = aServer == kFaultyServer && IsActive(aNow);
  const auto sinceMs =
    std::chrono::duration_cast<Millis>(aNow - kFaultBegins).count();
  switch (mKind) {
    case FaultKind::kGrayErrors:
    case FaultKind::kPlatformUnavailable:
      return faulty ? kFaultyFailureRate : kBackgroundFailureRate;
    case FaultKind::kPartialCalls:
      return faulty && aCallKind == 0 ? 1.0 : kBackgroundFailureRate;
    case FaultKind::kFlapping:
      return faulty && (sinceMs / kFlapMs) % 2 == 0 ? kFaultyFailureRate
                                                    : kBackgroundFailureRate;
    case FaultKind::kCommonCause:
      return IsActive(aNow) ? kFaultyFailureRate : kBackgroundFailureRate;
    case FaultKind::kNoiseBursts:
      return IsActive(aNow) && aServer == mNoisyServer &&
                 sinceMs % kNoiseEveryMs < kNoiseMs
               ? kNoiseFailureRate
               : kBackgroundFailureRate;
    default:
      return kBackgroundFailureRate;
  }
}

double
FaultModel::Slowness(int aServer, TimePoint aNow) const
{
  const bool faulty = aServer == kFaultyServer && IsActive(aNow);
  switch (mKind) {
    case FaultKind::kGraySlow:
      return faulty ? kSlowFactor : 1.0;
    case FaultKind::kCommonCause:
      return IsActive(aNow) ? kCommonSlowFactor : 1.0;
    case FaultKind::kColdStart:
      return faulty && aNow < kFaultBegins + kColdTime ? kColdFactor : 1.0;
    default:
      return 1.0;
  }
}

} // namespace porttiller::bench
