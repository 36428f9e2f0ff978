#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace hickoryglade::testing {

/// A process that a test has started; ended by its id at the latest when the
/// object goes.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Standard output and error go to the given file.
  ChildProcess(const std::vector<std::string> &command,
               const std::string &outputFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&other) noexcept;
  ChildProcess &operator=(ChildProcess &&other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int number) const;
  /// Waits for the end; gives the exit status, or minus the signal.
  int wait();
  bool isRunning();
  pid_t id() const { return Id; }

private:
  pid_t Id = 0;
  int Status = 0;
};

} // namespace hickoryglade::testing
