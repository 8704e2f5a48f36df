// How envelopes become messages: large ones are compressed.
#pragma once

#include <porttiller.pb.h>

#include <optional>
#include <string>
#include <string_view>

namespace porttiller {

std::string
EncodeMessage(const wire::Envelope& aEnvelope);

// Null for what is no envelope, or would unpack to more than kMaxMessageBytes.
std::optional<wire::Envelope>
DecodeMessage(std::string_view aMessage);

} // namespace porttiller
