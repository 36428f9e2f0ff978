#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace hickoryglade::testing {

/// A child process of a test. The destructor kills it if it still runs.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Appends standard output and standard error to the given file.
  ChildProcess(const std::vector<std::string> &command,
               const std::string &outputFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&other) noexcept;
  ChildProcess &operator=(ChildProcess &&other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int number) const;
  /// Waits for the process to exit. Returns its exit status, or the negated
  /// number of the signal that terminated it.
  int wait();
  bool isRunning();
  pid_t id() const { return Id; }

private:
  pid_t Id = 0;
  int Status = 0;
};

} // namespace hickoryglade::testing
