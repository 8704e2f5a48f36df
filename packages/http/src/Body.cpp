#include "porttiller/http/Body.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace porttiller {

namespace {

// A body without a length doubles its room up to steps of this size.
constexpr std::size_t kMaxStepBytes = 1 << 20;
constexpr std::size_t kMinStepBytes = 4 << 10;

} // namespace

struct Body::Content
{
  BodyReservation mReservation;
  std::unique_ptr<char, BodyBuffer::Free> mBytes;
  std::size_t mSize = 0;
};

Body::Body(std::string_view aBytes)
{
  if (!aBytes.empty()) {
    BodyBuffer buffer;
    buffer.Reservation().Reserve(aBytes.size());
    buffer.Append(aBytes);
    *this = buffer.Take();
  }
}

Body::Body(std::shared_ptr<Content> aContent)
  : mContent(std::move(aContent))
{
}

std::string_view
Body::View() const
{
  return mContent ? std::string_view(mContent->mBytes.get(), mContent->mSize)
                  : std::string_view();
}

void
Body::ReleaseReservation() const
{
  if (mContent) {
    mContent->mReservation.Release();
  }
}

bool
Body::DelaysOthers() const
{
  return mContent && mContent->mReservation.Bytes() > 0 &&
         mContent->mReservation.OthersWait();
}

BodyBuffer::BodyBuffer(std::shared_ptr<BodyBudget> aBudget)
  : mReservation(std::move(aBudget))
{
}

bool
BodyBuffer::Append(std::string_view aBytes)
{
  const auto size = mSize + aBytes.size();
  if (size > mReservation.Bytes()) {
    const auto step = std::clamp(mSize, kMinStepBytes, kMaxStepBytes);
    const auto more = std::max(step, size - mReservation.Bytes());
    if (!mReservation.Grow(more)) {
      return false;
    }
  }
  if (size > mCapacity) {
    mCapacity = mReservation.Bytes();
    auto* grown = static_cast<char*>(std::realloc(mBytes.release(), mCapacity));
    if (grown == nullptr) {
      throw std::bad_alloc();
    }
    mBytes.reset(grown);
  }
  std::memcpy(mBytes.get() + mSize, aBytes.data(), aBytes.size());
  mSize = size;
  return true;
}

Body
BodyBuffer::Take()
{
  auto content = std::make_shared<Body::Content>();
  content->mReservation = std::move(mReservation);
  content->mBytes = std::move(mBytes);
  content->mSize = std::exchange(mSize, 0);
  mCapacity = 0;
  return Body(std::move(content));
}

} // namespace porttiller
