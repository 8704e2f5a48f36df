// Cancellation token of a request.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace porttiller {

// Shared by all code that works on one request. Thread-safe. A thread that
// blocks on something else, such as a socket, registers a listener to be woken:
// polling the flag every few milliseconds costs about ten wake-ups for a
// request of 310 ms with three waits.
class Cancellation
{
public:
  // Keeps a listener registered. Once it is destroyed the listener does not
  // run any more; the destructor waits for a listener that is running. Must be
  // destroyed by the thread that created it.
  class Watch
  {
  public:
    Watch() = default;
    ~Watch();
    Watch(Watch&& aOther) noexcept;
    Watch& operator=(Watch&& aOther) noexcept;
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

  private:
    friend Watch OnCancel(const std::shared_ptr<Cancellation>& aCancellation,
                          std::function<void()> aListener);
    Watch(std::shared_ptr<Cancellation> aOwner, std::uint64_t aKey);

    std::shared_ptr<Cancellation> mOwner;
    std::uint64_t mKey = 0;
  };

  static std::shared_ptr<Cancellation> Make();

  // Runs the listeners on the calling thread; they must not block.
  void Cancel();
  bool IsCancelled() const { return mCancelled; }

private:
  friend Watch OnCancel(const std::shared_ptr<Cancellation>& aCancellation,
                        std::function<void()> aListener);

  void RemoveListener(std::uint64_t aKey);

  std::atomic<bool> mCancelled{ false };
  std::mutex mMutex; // held while listeners run
  std::map<std::uint64_t, std::function<void()>> mListeners;
  std::uint64_t mNextKey = 1;
};

using CancelFlag = std::shared_ptr<Cancellation>;

// Calls aListener once on cancellation, or at once if it is cancelled already.
// A null aCancellation is never cancelled.
Cancellation::Watch
OnCancel(const CancelFlag& aCancellation, std::function<void()> aListener);

} // namespace porttiller
