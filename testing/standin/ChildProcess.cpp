#include "standin/ChildProcess.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace porttiller::standin {

namespace {

constexpr Millis kPoll{ 5 };
constexpr Millis kKillWait{ 5000 };
constexpr mode_t kLogMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogFile)
{
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aProgram.c_str()));
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket inherited by the child would stay open after this process has
  // closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int result = posix_spawn(
    &mId, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error("cannot start " + aProgram);
  }
}

ChildProcess::~ChildProcess()
{
  if (!mReaped) {
    Signal(SIGKILL);
    WaitForExit(kKillWait);
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  if (!mReaped) {
    ::kill(mId, aSignal);
  }
}

int
ChildProcess::WaitForExit(Millis aTime)
{
  const auto until = Now() + aTime;
  while (!mReaped) {
    int status = 0;
    if (::waitpid(mId, &status, WNOHANG) == mId) {
      mReaped = true;
      mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    } else if (Now() > until) {
      return -1;
    } else {
      std::this_thread::sleep_for(kPoll);
    }
  }
  return mExitCode;
}

bool
WaitForListener(const std::string& aAddress, Millis aTime)
{
  const auto until = Now() + aTime;
  while (Now() < until) {
    try {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(aAddress));
      return true;
    } catch (const Poco::Exception&) {
      std::this_thread::sleep_for(kPoll);
    }
  }
  return false;
}

} // namespace porttiller::standin
