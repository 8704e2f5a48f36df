// Identifies requests that ask a backend server for the same work.
#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace porttiller {

// A 128-bit hash (XXH3) of a request's content. Logs and control messages hold
// the digest and never the content. Immutable.
class RequestDigest
{
public:
  RequestDigest() = default; // of no request
  RequestDigest(std::uint64_t aHigh, std::uint64_t aLow);

  // Parts are hashed with their lengths: {"ab", "c"} differs from {"a", "bc"}.
  static RequestDigest Of(std::initializer_list<std::string_view> aParts);

  bool Empty() const { return mHigh == 0 && mLow == 0; }
  std::uint64_t High() const { return mHigh; }
  std::uint64_t Low() const { return mLow; }

  // 32 hexadecimal digits.
  std::string ToString() const;
  // Null unless the text is one made by ToString.
  static std::optional<RequestDigest> Parse(std::string_view aText);

  friend auto operator<=>(const RequestDigest&, const RequestDigest&) = default;

private:
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;
};

} // namespace porttiller
