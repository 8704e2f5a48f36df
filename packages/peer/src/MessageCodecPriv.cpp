#include "MessageCodecPriv.h"

#include "PeerLoopPriv.h"

#include <zstd.h>

namespace porttiller {

namespace {

// Bytes. Compression saves less than the zstd frame adds below this.
constexpr std::size_t kMinCompressedBytes = 256;
constexpr int kCompressionLevel = 3; // zstd's default

std::optional<std::string>
Compressed(const std::string& aBytes)
{
  std::string packed(ZSTD_compressBound(aBytes.size()), '\0');
  const auto size = ZSTD_compress(packed.data(),
                                  packed.size(),
                                  aBytes.data(),
                                  aBytes.size(),
                                  kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size >= aBytes.size()) {
    return std::nullopt;
  }
  packed.resize(size);
  return packed;
}

std::optional<std::string>
Decompressed(const std::string& aPacked)
{
  const auto size = ZSTD_getFrameContentSize(aPacked.data(), aPacked.size());
  // Both error codes of zstd are larger than the limit.
  if (size > static_cast<unsigned long long>(kMaxMessageBytes)) {
    return std::nullopt;
  }
  std::string bytes(size, '\0');
  const auto written =
    ZSTD_decompress(bytes.data(), bytes.size(), aPacked.data(), aPacked.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return std::nullopt;
  }
  return bytes;
}

std::optional<wire::Envelope>
Parse(std::string_view aBytes)
{
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
    return std::nullopt;
  }
  return envelope;
}

} // namespace

std::string
EncodeMessage(const wire::Envelope& aEnvelope)
{
  auto bytes = aEnvelope.SerializeAsString();
  if (bytes.size() < kMinCompressedBytes) {
    return bytes;
  }
  auto packed = Compressed(bytes);
  if (!packed) {
    return bytes;
  }
  wire::Envelope outer;
  outer.set_packed(std::move(*packed));
  return outer.SerializeAsString();
}

std::optional<wire::Envelope>
DecodeMessage(std::string_view aMessage)
{
  auto envelope = Parse(aMessage);
  if (!envelope || envelope->packed().empty()) {
    return envelope;
  }
  const auto bytes = Decompressed(envelope->packed());
  return bytes ? Parse(*bytes) : std::nullopt;
}

} // namespace porttiller
