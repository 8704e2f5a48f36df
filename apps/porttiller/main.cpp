// The daemon: porttiller --config FILE
#include "porttiller/config/Settings.h"
#include "porttiller/node/Log.h"
#include "porttiller/node/Node.h"

#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>

namespace {

using namespace porttiller;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("porttiller",
                           "A proxy beside the backend servers of one box.");
  options.add_options()("config",
                        "settings, JSON with comments",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "check the settings and end")(
    "print-config", "print the settings in force and end")(
    "version", "print the version and end")("help", "print this and end");
  return options;
}

// Signals are taken by WaitForStop; every thread started later inherits this.
void
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void
WaitForStop()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

int
Serve(const Settings& aSettings)
{
  BlockStopSignals();
  SetUpLog(aSettings.mBox.Value(), aSettings.mLogLevel);
  const auto node = Node::Make(aSettings);
  if (!node) {
    std::cerr << "porttiller: cannot listen: " << node.error().mDetail << "\n";
    return kExitFailed;
  }
  WaitForStop();
  (*node)->Drain();
  return kExitOk;
}

int
Run(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("config") == 0) {
    std::cerr << "porttiller: --config FILE is required\n";
    return kExitBadSettings;
  }
  const auto file = aArguments["config"].as<std::string>();
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << "porttiller: cannot read " << file << "\n";
    return kExitBadSettings;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  const auto settings = ParseSettings(text.str());
  if (!settings) {
    std::cerr << ToText(settings.error());
    return kExitBadSettings;
  }
  if (aArguments.count("print-config") > 0) {
    std::cout << ToJsonText(*settings) << "\n";
    return kExitOk;
  }
  if (aArguments.count("check") > 0) {
    std::cout << file << ": ok\n";
    return kExitOk;
  }
  return Serve(*settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto options = MakeOptions();
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (arguments.count("version") > 0) {
      std::cout << "porttiller " << PORTTILLER_VERSION << "\n";
      return kExitOk;
    }
    return Run(arguments);
  } catch (const std::exception& e) {
    std::cerr << "porttiller: " << e.what() << "\n";
    return kExitBadSettings;
  }
}
