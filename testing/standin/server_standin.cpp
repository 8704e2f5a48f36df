// Runs the backend server stand-in as a process: server_standin NAME IP:PORT
#include "standin/ServerStandIn.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: server_standin NAME IP:PORT\n";
    return 2;
  }
  const porttiller::standin::ServerStandIn server(aArguments[1], aArguments[2]);
  porttiller::standin::WaitForSignal();
  return 0;
}
