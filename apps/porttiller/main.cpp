// The daemon: porttiller --config FILE
#include "SettingsFile.h"
#include "porttiller/node/Node.h"
#include "porttiller/telemetry/Log.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <malloc.h>
#include <pthread.h>

namespace {

using namespace porttiller;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
// How often the settings file is checked for a change without a signal.
constexpr timespec kFileCheckInterval{ .tv_sec = 2, .tv_nsec = 0 };

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("porttiller",
                           "A proxy beside the backend servers of one box.");
  options.add_options()("config",
                        "settings, JSON with comments",
                        cxxopts::value<std::string>(),
                        "FILE")("config-env",
                                "as --config, with the file's path in this "
                                "environment variable",
                                cxxopts::value<std::string>(),
                                "NAME")("check", "check the settings and end")(
    "print-config", "print the settings in force and end")(
    "version", "print the version and end")("help", "print this and end");
  return options;
}

sigset_t
HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Blocks the signals that WaitForStop receives; threads that are started later
// inherit the mask. Ignores SIGPIPE, so that a write to a closed connection
// fails with an error and does not end the process.
void
PrepareSignals()
{
  const auto signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

// Maps large bodies on their own, so that their memory returns to the system
// when they end. glibc raises this threshold to 32 MiB by itself, and then
// keeps that much free in the arenas of many threads.
void
PrepareAllocator()
{
  constexpr int kMappedBytes = 1 << 20;
  constexpr int kTrimBytes = 2 << 20;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

void
Reload(SettingsFile& aFile, const Settings& aInForce)
{
  const auto reloaded = aFile.Read();
  if (reloaded) {
    ApplyReloaded(aInForce, *reloaded);
    return;
  }
  LogLine(LogLevel::kError, "settings_rejected")
    .With("problem", reloaded.error());
}

// Returns on SIGTERM or SIGINT. Reloads the settings file until then.
void
WaitForStop(SettingsFile& aFile, const Settings& aInForce)
{
  const auto signals = HandledSignals();
  for (;;) {
    const auto signal = sigtimedwait(&signals, nullptr, &kFileCheckInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      LogLine(LogLevel::kInfo, "stopping").With("signal", signal);
      return;
    }
    if (signal == SIGHUP || aFile.Changed()) {
      Reload(aFile, aInForce);
    }
  }
}

int
Serve(SettingsFile& aFile, const Settings& aSettings)
{
  PrepareAllocator();
  PrepareSignals();
  SetUpLog(aSettings.mBox.Value(), aSettings.mLogLevel);
  const auto node = Node::Make(aSettings);
  if (!node) {
    std::cerr << "porttiller: cannot listen: " << node.error().mDetail << "\n";
    return kExitFailed;
  }
  WaitForStop(aFile, aSettings);
  (*node)->Drain();
  return kExitOk;
}

// Path from --config or --config-env; empty if neither is given.
std::string
SettingsPath(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("config") > 0) {
    return aArguments["config"].as<std::string>();
  }
  if (aArguments.count("config-env") > 0) {
    const auto name = aArguments["config-env"].as<std::string>();
    const char* path = std::getenv(name.c_str());
    return path == nullptr ? "" : path;
  }
  return {};
}

int
Run(const cxxopts::ParseResult& aArguments)
{
  const auto path = SettingsPath(aArguments);
  if (path.empty()) {
    std::cerr << "porttiller: --config FILE is required\n";
    return kExitBadSettings;
  }
  SettingsFile file(path);
  const auto settings = file.Read();
  if (!settings) {
    std::cerr << "porttiller: " << settings.error();
    return kExitBadSettings;
  }
  if (aArguments.count("print-config") > 0) {
    std::cout << ToJsonText(*settings) << "\n";
    return kExitOk;
  }
  if (aArguments.count("check") > 0) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  return Serve(file, *settings);
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
