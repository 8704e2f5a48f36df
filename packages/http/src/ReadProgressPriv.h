// Decides when a peer reads an answer so slowly that its connection is closed.
#pragma once

#include "porttiller/core/Time.h"
#include "porttiller/http/HttpListener.h"

#include <cstdint>
#include <optional>

namespace porttiller {

// For one connection, while answer bytes wait for its peer. Not thread-safe.
class ReadProgress
{
public:
  explicit ReadProgress(const HttpListenerOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  // Answer bytes begin to wait. aRead: bytes that the peer has read so far.
  void Start(TimePoint aNow, std::uint64_t aRead);
  // To be called at intervals that are short against the limits. The rate is
  // taken over consecutive windows of mReadRateWindow, so a peer that becomes
  // too slow is found after two of them at most.
  std::optional<SlowReader> Check(TimePoint aNow, std::uint64_t aRead);

private:
  const HttpListenerOptions& mOptions;
  std::uint64_t mRead = 0;
  TimePoint mLastProgress;
  std::uint64_t mWindowRead = 0; // mRead at the start of the window
  TimePoint mWindowStart;
};

} // namespace porttiller
