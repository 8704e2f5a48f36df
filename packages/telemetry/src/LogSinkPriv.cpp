#include "LogSinkPriv.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace porttiller {

namespace {

bool
IsSocket(int aDescriptor)
{
  struct stat status = {};
  return ::fstat(aDescriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

} // namespace

LogSink::LogSink(int aDescriptor,
                 std::function<std::string(std::int64_t)> aDropped)
  : mDescriptor(aDescriptor)
  , mIsSocket(IsSocket(aDescriptor))
  , mMakeDropped(std::move(aDropped))
{
}

std::int64_t
LogSink::Dropped() const
{
  const std::lock_guard lock(mMutex);
  return mDropped;
}

void
LogSink::Write(std::string_view aLine)
{
  const std::lock_guard lock(mMutex);
  const auto unreported = mDropped - mReported;
  if (unreported > 0 && WriteLine(mMakeDropped(unreported))) {
    mReported += unreported;
  }
  if (mDropped > mReported || !WriteLine(aLine)) {
    ++mDropped;
  }
}

bool
LogSink::WriteLine(std::string_view aLine)
{
  std::string text(mTorn ? "\n" : "");
  text += aLine;
  text += '\n';
  std::size_t written = 0;
  while (written < text.size()) {
    const auto taken = WritePiece(std::string_view(text).substr(written));
    if (taken == 0) {
      mTorn = mTorn || written > 0;
      return false;
    }
    written += taken;
  }
  mTorn = false;
  return true;
}

std::size_t
LogSink::WritePiece(std::string_view aPiece) const
{
  if (mIsSocket) {
    const auto sent = ::send(
      mDescriptor, aPiece.data(), aPiece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return static_cast<std::size_t>(std::max<ssize_t>(0, sent));
  }
  // The descriptor is shared with other processes, so that it must not be made
  // non-blocking. A pipe that is writable takes PIPE_BUF bytes at once.
  pollfd item{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
  if (::poll(&item, 1, 0) <= 0 || (item.revents & POLLOUT) == 0) {
    return 0;
  }
  const auto size = std::min<std::size_t>(aPiece.size(), PIPE_BUF);
  const auto written = ::write(mDescriptor, aPiece.data(), size);
  return static_cast<std::size_t>(std::max<ssize_t>(0, written));
}

} // namespace porttiller
