// Serializes envelopes to messages; large ones are compressed with zstd.
#pragma once

#include <porttiller.pb.h>

#include <optional>
#include <string>
#include <string_view>

namespace porttiller {

std::string
EncodeMessage(const wire::Envelope& aEnvelope);

// Null if aMessage is not an envelope or decompresses to more than
// kMaxMessageBytes.
std::optional<wire::Envelope>
DecodeMessage(std::string_view aMessage);

} // namespace porttiller
