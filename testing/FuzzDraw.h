// Draws for stateful fuzzing.
#pragma once

#include <rapidcheck.h>

namespace porttiller {

// Uniform in [aMin, aMax), whatever rapidcheck's current size: small runs
// would otherwise never get deep.
template<typename T>
T
Draw(T aMin, T aMax)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aMin, aMax));
}

} // namespace porttiller
