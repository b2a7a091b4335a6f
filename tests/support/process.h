#ifndef TESTS_SUPPORT_PROCESS_H_
#define TESTS_SUPPORT_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

extern char** environ;

namespace chicorystep::testing {

// A child process that is killed and reaped when it goes out of scope. It
// inherits no descriptors but the standard ones: a copy of a socket would keep
// the connection or the listener open after this process has closed it.
class ChildProcess {
 public:
  // Redirects standard output to the file `output` unless the name is empty.
  explicit ChildProcess(const std::vector<std::string>& command,
                        const std::string& output = "") {
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    if (!output.empty()) {
      posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO,
                                       output.c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0600);
    }
    posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
    std::vector<char*> arguments;
    for (const std::string& word : command) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&this->pid, arguments[0], &file_actions, nullptr,
                    arguments.data(), environ) != 0) {
      this->pid = -1;
    }
    posix_spawn_file_actions_destroy(&file_actions);
  }
  ChildProcess(ChildProcess&& other) noexcept
      : pid(std::exchange(other.pid, -1)) {}
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      (void)this->Wait();
    }
  }

  [[nodiscard]] pid_t Pid() const noexcept { return this->pid; }

  void Signal(int number) const { ::kill(this->pid, number); }

  // Whether the process has ended. It is not reaped: Wait() is still needed.
  [[nodiscard]] bool HasEnded() const {
    siginfo_t info{};
    return this->pid > 0 &&
           ::waitid(P_PID, static_cast<id_t>(this->pid), &info,
                    WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == this->pid;
  }

  // Waits for the process to end and reaps it. Returns the exit code, or -1
  // when a signal ended it or it could not be started.
  int Wait() {
    if (this->pid <= 0) {
      // The process could not be started, or has been reaped.
      return -1;
    }
    int status = 0;
    const pid_t reaped = ::waitpid(std::exchange(this->pid, -1), &status, 0);
    return reaped > 0 && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid = -1;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
