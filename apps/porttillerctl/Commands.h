// The commands of porttillerctl.
#pragma once

#include "Output.h"
#include "porttiller/store/ObjectClient.h"

#include <string>
#include <vector>

namespace porttiller::ctl {

struct Arguments
{
  std::string mCommand;
  std::vector<std::string> mOperands;
  std::string mFile; // of apply
  int mCount = 0;    // of watch: end after this many changes; 0: never
  Format mFormat = Format::kTable;
};

// Runs the command that aArguments names.
ExitCode
RunCommand(ObjectClient& aClient, const Arguments& aArguments);

// Prints the configuration in force on the fleet, and the servers of one
// service or of all.
ExitCode
RunStatus(ObjectClient& aClient, const Arguments& aArguments);

} // namespace porttiller::ctl
