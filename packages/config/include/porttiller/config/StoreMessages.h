// Requests to the platform's store and its decoded answers, independent of
// the dialect of the store.
#pragma once

#include "porttiller/config/ObjectSet.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace porttiller {

struct StoreCall
{
  std::string mMethod;
  std::string mPath;            // with query
  std::string mBody;            // JSON; empty: no body
  std::uint64_t mIfVersion = 0; // sent as If-Match; 0: not sent
};

// One page of a list. The next page starts after the name mNext; empty: this is
// the last page.
struct ObjectPage
{
  ObjectDelta mDelta;
  std::string mNext;
};

// Describes why a message could not be decoded.
struct DecodeError
{
  std::string mDetail;
};

template<typename T>
using Decoded = tl::expected<T, DecodeError>;

} // namespace porttiller
