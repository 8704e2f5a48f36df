#include "porttiller/control/DirectoryCodec.h"

#include "porttiller/control/ControlCodec.h"

#include <algorithm>

namespace porttiller {

namespace {

void
EncodeRange(const HashRange& aRange, wire::HashRange& aMessage)
{
  aMessage.set_first(aRange.mFirst);
  aMessage.set_bits(aRange.mBits);
}

HashRange
DecodeRange(const wire::HashRange& aMessage)
{
  return { .mFirst = aMessage.first(), .mBits = aMessage.bits() };
}

} // namespace

wire::DirectoryExchange
EncodeExchange(const DirectoryExchange& aExchange)
{
  wire::DirectoryExchange message;
  for (const auto& node : aExchange.mNodes) {
    auto* item = message.add_nodes();
    EncodeRange(node.mRange, *item->mutable_range());
    for (const auto digest : node.mParts) {
      item->add_children(digest);
    }
  }
  for (const auto& range : aExchange.mListed) {
    EncodeRange(range, *message.add_listed());
  }
  EncodeVersions(aExchange.mHeld, *message.mutable_held());
  for (const auto& box : aExchange.mWanted) {
    message.add_wanted(box.Value());
  }
  *message.mutable_records() =
    std::move(*EncodeRecords(aExchange.mRecords).mutable_records());
  return message;
}

DecodedExchange
DecodeExchange(const wire::DirectoryExchange& aMessage)
{
  DecodedExchange decoded;
  auto& exchange = decoded.mExchange;
  for (const auto& item : aMessage.nodes()) {
    DigestNode node{ .mRange = DecodeRange(item.range()) };
    if (static_cast<std::size_t>(item.children_size()) != node.mParts.size()) {
      continue;
    }
    std::copy(
      item.children().begin(), item.children().end(), node.mParts.begin());
    exchange.mNodes.push_back(node);
  }
  for (const auto& range : aMessage.listed()) {
    exchange.mListed.push_back(DecodeRange(range));
  }
  exchange.mHeld = DecodeVersions(aMessage.held());
  for (const auto& box : aMessage.wanted()) {
    exchange.mWanted.emplace_back(box);
  }
  wire::BoxRecords records;
  *records.mutable_records() = aMessage.records();
  auto read = DecodeRecords(records);
  exchange.mRecords = std::move(read.mRecords);
  decoded.mUnreadable = std::move(read.mUnreadable);
  return decoded;
}

} // namespace porttiller
