// Writes log lines to a descriptor that another process reads.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace porttiller {

// Never blocks: a pipe or socket whose reader has stopped buffers lines until
// it is full, and further ones are dropped and counted. Thread-safe.
class LogSink
{
public:
  // aDescriptor stays open and is not owned. aDropped makes the line that is
  // written before the next one, once lines were dropped.
  LogSink(int aDescriptor, std::function<std::string(std::int64_t)> aDropped);

  // Without the end of the line.
  void Write(std::string_view aLine);
  // Lines dropped since the start.
  std::int64_t Dropped() const;

private:
  bool WriteLine(std::string_view aLine);
  // Writes at most one piece; the number of bytes taken, 0 if it would block.
  std::size_t WritePiece(std::string_view aPiece) const;

  const int mDescriptor;
  const bool mIsSocket;
  const std::function<std::string(std::int64_t)> mMakeDropped;
  mutable std::mutex mMutex;
  std::int64_t mDropped = 0;
  std::int64_t mReported = 0; // of mDropped
  bool mTorn = false;         // the last line was written in part
};

} // namespace porttiller
