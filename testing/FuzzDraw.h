// Random values for stateful property tests.
#pragma once

#include <rapidcheck.h>

namespace porttiller {

// Returns a uniform value in [aMin, aMax). It ignores rapidcheck's current
// size, because small sizes would never produce long sequences of steps.
template<typename T>
T
Draw(T aMin, T aMax)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aMin, aMax));
}

} // namespace porttiller
