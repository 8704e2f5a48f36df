// What the result of an attempt shows about a backend server's health.
#pragma once

#include "porttiller/hop/HomeTypes.h"
#include "porttiller/policy/EjectionMachine.h"

#include <optional>

namespace porttiller {

// The first status of a server's own errors.
inline constexpr int kFirstServerErrorStatus = 500;

// aTime: how long the attempt ran. aSlow: the detector finds this slow. Null if
// it shows nothing: a full connection pool, a server that is busy or leaving, a
// cancelled request, and a deadline that left too little time.
std::optional<Evidence>
HealthEvidenceOf(const HomeRequest& aRequest,
                 const HomeAnswer& aAnswer,
                 Micros aTime,
                 bool aSlow);

} // namespace porttiller
