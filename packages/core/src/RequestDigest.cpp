#include "porttiller/core/RequestDigest.h"

#include <charconv>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace porttiller {

namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr int kHexBase = 16;

std::optional<std::uint64_t>
ParseHalf(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [next, error] =
    std::from_chars(aText.data(), end, value, kHexBase);
  if (error != std::errc() || next != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

RequestDigest::RequestDigest(std::uint64_t aHigh, std::uint64_t aLow)
  : mHigh(aHigh)
  , mLow(aLow)
{
}

RequestDigest
RequestDigest::Of(std::initializer_list<std::string_view> aParts)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
    XXH3_createState(), XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const auto part : aParts) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state.get(), &size, sizeof(size));
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  const auto hash = XXH3_128bits_digest(state.get());
  return { hash.high64, hash.low64 };
}

std::string
RequestDigest::ToString() const
{
  std::string text(2 * kHalfDigits + 1, '\0');
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(mHigh),
                static_cast<unsigned long long>(mLow));
  text.pop_back();
  return text;
}

std::optional<RequestDigest>
RequestDigest::Parse(std::string_view aText)
{
  if (aText.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  const auto high = ParseHalf(aText.substr(0, kHalfDigits));
  const auto low = ParseHalf(aText.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return RequestDigest(*high, *low);
}

} // namespace porttiller
