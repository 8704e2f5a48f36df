// Calls to the platform's store and what its answers hold, whatever dialect
// the store speaks.
#pragma once

#include "porttiller/config/ObjectSet.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

struct StoreCall
{
  std::string mMethod;
  std::string mPath;            // with its query
  std::string mBody;            // JSON; none when empty
  std::uint64_t mIfVersion = 0; // sent as If-Match; 0: not sent
};

// A part of a list; the next one begins after mNext unless that is empty.
struct ObjectPage
{
  ObjectDelta mDelta;
  std::string mNext;
};

// What is wrong with an answer.
struct DialectError
{
  std::string mDetail;
};

template<typename T>
using Decoded = tl::expected<T, DialectError>;

} // namespace porttiller
