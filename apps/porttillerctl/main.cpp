// Command-line tool for operators. Uses the platform's object API; only `dump`
// and `clear` connect to a daemon.
#include "Commands.h"

#include <cxxopts.hpp>
#include <exception>
#include <iostream>

namespace {

using namespace porttiller;
using namespace porttiller::ctl;

constexpr const char* kDefaultPlatform = "127.0.0.1:7000";

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("porttillerctl", "Operates a porttiller fleet.");
  options.custom_help("[--platform IP:PORT] [-o table|json]");
  options.positional_help(
    "get KIND NAME | list KIND | apply -f FILE | delete KIND NAME | "
    "watch KIND | status [SERVICE] | dump ADMIN-IP:PORT | "
    "clear ADMIN-IP:PORT DIGEST");
  auto add = options.add_options();
  add("platform",
      "address of the object API",
      cxxopts::value<std::string>()->default_value(kDefaultPlatform));
  add("o,output",
      "table or json",
      cxxopts::value<std::string>()->default_value("table"));
  add("f,file",
      "of apply: one object, or {\"items\": [...]}",
      cxxopts::value<std::string>()->default_value(""));
  add("count",
      "of watch: end after so many changes",
      cxxopts::value<int>()->default_value("0"));
  add("version", "print the version and end");
  add("help", "print this and end");
  add("operands", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("operands");
  return options;
}

ExitCode
Run(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("operands") == 0) {
    std::cerr << "porttillerctl: a command is required; see --help\n";
    return ExitCode::kUsage;
  }
  const auto format = aParsed["output"].as<std::string>();
  if (format != "table" && format != "json") {
    std::cerr << "porttillerctl: -o must be table or json\n";
    return ExitCode::kUsage;
  }
  Arguments arguments{ .mFile = aParsed["file"].as<std::string>(),
                       .mCount = aParsed["count"].as<int>(),
                       .mFormat =
                         format == "json" ? Format::kJson : Format::kTable };
  arguments.mOperands = aParsed["operands"].as<std::vector<std::string>>();
  arguments.mCommand = arguments.mOperands.front();
  arguments.mOperands.erase(arguments.mOperands.begin());
  ObjectClient client({ .mAddress = aParsed["platform"].as<std::string>() });
  return RunCommand(client, arguments);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto options = MakeOptions();
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.count("version") > 0) {
      std::cout << "porttillerctl " << PORTTILLER_VERSION << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
    return static_cast<int>(Run(parsed));
  } catch (const std::exception& e) {
    std::cerr << "porttillerctl: " << e.what() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}
