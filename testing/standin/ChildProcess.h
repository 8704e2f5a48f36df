// A process that a test or the demo started, and ends again by its id.
#pragma once

#include "porttiller/core/Time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace porttiller::standin {

class ChildProcess
{
public:
  // Its output and errors are added to aLogFile.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  // Ends it at once if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  // Its exit code once it has ended; -1 if it has not within aTime, or was
  // ended by a signal.
  int WaitForExit(Millis aTime);
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  bool mReaped = false;
  int mExitCode = -1;
};

// True once something listens at aAddress ("ip:port").
bool
WaitForListener(const std::string& aAddress, Millis aTime);

} // namespace porttiller::standin
