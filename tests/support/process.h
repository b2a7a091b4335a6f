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

// A child process; killed and reaped at the end of its scope.
class ChildProcess {
 public:
  // Standard output goes to the file `output` if one is named.
  explicit ChildProcess(const std::vector<std::string>& words,
                        const std::string& output = "") {
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    if (!output.empty()) {
      posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0600);
    }
    std::vector<char*> arguments;
    for (const std::string& word : words) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&this->pid, arguments[0], &files, nullptr, arguments.data(),
                    environ) != 0) {
      this->pid = -1;
    }
    posix_spawn_file_actions_destroy(&files);
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

  // Whether the process has ended by now; it still has to be waited for.
  [[nodiscard]] bool HasEnded() const {
    siginfo_t info{};
    return this->pid > 0 &&
           ::waitid(P_PID, static_cast<id_t>(this->pid), &info,
                    WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == this->pid;
  }

  // Waits for the end; the exit code, or -1 when a signal ended it.
  int Wait() {
    int status = 0;
    const pid_t reaped = ::waitpid(std::exchange(this->pid, -1), &status, 0);
    return reaped > 0 && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid = -1;
};

}  // namespace chicorystep::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
