#include "porttiller/http/Cancellation.h"

#include <utility>

namespace porttiller {

Cancellation::Watch::Watch(std::shared_ptr<Cancellation> aOwner,
                           std::uint64_t aKey)
  : mOwner(std::move(aOwner))
  , mKey(aKey)
{
}

Cancellation::Watch::Watch(Watch&& aOther) noexcept
  : mOwner(std::exchange(aOther.mOwner, nullptr))
  , mKey(aOther.mKey)
{
}

Cancellation::Watch&
Cancellation::Watch::operator=(Watch&& aOther) noexcept
{
  std::swap(mOwner, aOther.mOwner);
  std::swap(mKey, aOther.mKey);
  return *this;
}

Cancellation::Watch::~Watch()
{
  if (mOwner) {
    mOwner->RemoveListener(mKey);
  }
}

std::shared_ptr<Cancellation>
Cancellation::Make()
{
  return std::make_shared<Cancellation>();
}

void
Cancellation::Cancel()
{
  const std::lock_guard lock(mMutex);
  if (mCancelled.exchange(true)) {
    return;
  }
  for (const auto& [key, listener] : mListeners) {
    listener();
  }
}

void
Cancellation::RemoveListener(std::uint64_t aKey)
{
  const std::lock_guard lock(mMutex);
  mListeners.erase(aKey);
}

Cancellation::Watch
OnCancel(const CancelFlag& aCancellation, std::function<void()> aListener)
{
  if (!aCancellation) {
    return {};
  }
  const std::lock_guard lock(aCancellation->mMutex);
  if (aCancellation->mCancelled) {
    aListener();
    return {};
  }
  const auto key = aCancellation->mNextKey++;
  aCancellation->mListeners.emplace(key, std::move(aListener));
  return { aCancellation, key };
}

} // namespace porttiller
