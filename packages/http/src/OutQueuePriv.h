// The bytes of answers that a connection has yet to write.
#pragma once

#include "porttiller/http/Body.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace porttiller {

// Keeps each body where it is; a write gathers heads and bodies. Not
// thread-safe.
class OutQueue
{
public:
  bool Empty() const { return mPieces.empty(); }
  // Not written yet.
  std::size_t Bytes() const { return mHeld - mSent; }
  // In memory: a piece is freed once all of it is written.
  std::size_t HeldBytes() const { return mHeld; }

  void Push(std::string aHead, Body aBody);
  // What to write next, in order.
  std::vector<std::string_view> Parts() const;
  // The first aBytes of Parts were written.
  void OnSent(std::size_t aBytes);
  void Clear();

private:
  struct Piece
  {
    std::string mHead;
    Body mBody;

    std::size_t Size() const { return mHead.size() + mBody.Size(); }
  };

  std::deque<Piece> mPieces;
  std::size_t mHeld = 0;
  std::size_t mSent = 0; // bytes of the first piece
};

} // namespace porttiller
