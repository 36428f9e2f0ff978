#include "process/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <utility>

extern char **environ;

namespace hickoryglade::testing {

ChildProcess::ChildProcess(const std::vector<std::string> &command,
                           const std::string &outputFile) {
  std::vector<char *> arguments;
  for (const std::string &it : command)
    arguments.push_back(const_cast<char *>(it.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 2, outputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 2, 1);
  posix_spawn(&Id, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  if (Id == 0)
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  wait();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : Id(std::exchange(other.Id, 0)), Status(other.Status) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept {
  std::swap(Id, other.Id);
  std::swap(Status, other.Status);
  return *this;
}

void ChildProcess::signal(int number) const {
  if (Id != 0)
    ::kill(Id, number);
}

int ChildProcess::wait() {
  if (Id == 0)
    return Status;
  int status = 0;
  ::waitpid(Id, &status, 0);
  Id = 0;
  Status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return Status;
}

bool ChildProcess::isRunning() {
  if (Id == 0)
    return false;
  int status = 0;
  if (::waitpid(Id, &status, WNOHANG) == 0)
    return true;
  Id = 0;
  Status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

} // namespace hickoryglade::testing
