#include "MessageCodecPriv.h"

#include <doctest/doctest.h>

using namespace porttiller;

namespace {

constexpr int kRoutes = 500;

wire::Envelope
Configuration()
{
  wire::Envelope envelope;
  envelope.set_from_box("box-a");
  envelope.set_correlation(7);
  for (int i = 0; i < kRoutes; ++i) {
    auto* object = envelope.mutable_delta()->add_objects();
    object->set_kind("Route");
    object->set_name("route-" + std::to_string(i));
    object->set_spec_json(R"({"path_prefix":"/r/","repeatable":true})");
  }
  return envelope;
}

} // namespace

TEST_CASE("A large message survives encoding and shrinks to under an eighth")
{
  const auto envelope = Configuration();
  const auto plain = envelope.SerializeAsString();
  const auto message = EncodeMessage(envelope);
  CHECK(message.size() * 8 < plain.size());
  const auto decoded = DecodeMessage(message);
  REQUIRE(decoded.has_value());
  CHECK(decoded->SerializeAsString() == plain);
}

TEST_CASE("A short message is not compressed")
{
  wire::Envelope envelope;
  envelope.set_from_box("box-a");
  envelope.mutable_ack();
  const auto message = EncodeMessage(envelope);
  CHECK(message == envelope.SerializeAsString());
  CHECK(DecodeMessage(message)->has_ack());
}

TEST_CASE("A message that cannot be decompressed is rejected")
{
  auto message = EncodeMessage(Configuration());
  message[message.size() / 2] ^= 0x55;
  message.resize(message.size() - 3);
  CHECK_FALSE(DecodeMessage(message).has_value());
  wire::Envelope outer;
  outer.set_packed("no frame");
  CHECK_FALSE(DecodeMessage(outer.SerializeAsString()).has_value());
}
