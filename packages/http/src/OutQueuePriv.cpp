#include "OutQueuePriv.h"

#include <algorithm>
#include <utility>

namespace porttiller {

namespace {

// Pieces of one gathering write.
constexpr std::size_t kMaxPieces = 16;

} // namespace

void
OutQueue::Push(std::string aHead, Body aBody)
{
  mPieces.push_back({ std::move(aHead), std::move(aBody) });
  mHeld += mPieces.back().Size();
}

std::vector<std::string_view>
OutQueue::Parts() const
{
  std::vector<std::string_view> parts;
  auto skip = mSent;
  for (std::size_t i = 0; i < std::min(mPieces.size(), kMaxPieces); ++i) {
    for (const auto part :
         { std::string_view(mPieces[i].mHead), mPieces[i].mBody.View() }) {
      const auto skipped = std::min(skip, part.size());
      skip -= skipped;
      if (skipped < part.size()) {
        parts.push_back(part.substr(skipped));
      }
    }
  }
  return parts;
}

void
OutQueue::OnSent(std::size_t aBytes)
{
  mSent += aBytes;
  while (!mPieces.empty() && mSent >= mPieces.front().Size()) {
    const auto size = mPieces.front().Size();
    mPieces.pop_front();
    mHeld -= size;
    mSent -= size;
  }
}

void
OutQueue::Clear()
{
  mPieces.clear();
  mHeld = 0;
  mSent = 0;
}

} // namespace porttiller
