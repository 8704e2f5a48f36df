#include "porttiller/core/Time.h"

#include <atomic>
#include <ctime>
#include <doctest/doctest.h>
#include <sys/syscall.h>
#include <unistd.h>

using namespace porttiller;

namespace {

constexpr std::time_t kSuspendedS = 10;

std::atomic<bool> gSuspended{ false };

} // namespace

// Replaces the C library's function in this test program. After a suspension
// the time of day and CLOCK_BOOTTIME have advanced, the monotonic clocks have
// not.
extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime) noexcept // NOLINT
{
  const auto result =
    static_cast<int>(::syscall(SYS_clock_gettime, aClock, aTime));
  if (gSuspended && (aClock == CLOCK_BOOTTIME || aClock == CLOCK_REALTIME)) {
    aTime->tv_sec += kSuspendedS;
  }
  return result;
}

TEST_CASE("The clock counts the time during which the machine was suspended")
{
  const auto before = Now();
  gSuspended = true;
  const auto after = Now();
  gSuspended = false;
  CHECK(after - before >= std::chrono::seconds(kSuspendedS));
}
