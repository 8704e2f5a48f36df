// A child process of a test or of the demo, terminated by its process id.
#pragma once

#include "porttiller/core/Time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace porttiller::standin {

class ChildProcess
{
public:
  // Appends its standard output and standard error to aLogFile.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  // Kills the process with SIGKILL if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  // Returns the exit code, or -1 if the process is still running after aTime or
  // was terminated by a signal.
  int WaitForExit(Millis aTime);
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
  bool mReaped = false;
  int mExitCode = -1;
};

// Waits until aAddress ("ip:port") accepts a TCP connection; false after aTime.
bool
WaitForListener(const std::string& aAddress, Millis aTime);

} // namespace porttiller::standin
