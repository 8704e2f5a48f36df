// Memory of a process, from /proc.
#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace porttiller {

// A line of the status file of a process in MB, such as "VmHWM", the peak
// memory; 0 if there is none. aProcess: its id, or "self".
inline std::size_t
StatusMb(const std::string& aName, const std::string& aProcess = "self")
{
  constexpr std::size_t kKbPerMb = 1024;
  std::ifstream file("/proc/" + aProcess + "/status");
  for (std::string name; file >> name;) {
    if (name == aName + ":") {
      std::size_t kb = 0;
      file >> kb;
      return kb / kKbPerMb;
    }
  }
  return 0;
}

} // namespace porttiller
