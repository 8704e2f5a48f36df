// Runs the platform stand-in as a process: platform_standin IP:PORT
#include "standin/PlatformStandIn.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: platform_standin IP:PORT\n";
    return 2;
  }
  const porttiller::standin::PlatformStandIn platform(aArguments[1]);
  porttiller::standin::WaitForSignal();
  return 0;
}
