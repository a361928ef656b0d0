/// A child process of a test; the destructor kills it.
#ifndef MAGNOLIASPREAD_E2E_PROCESS_H
#define MAGNOLIASPREAD_E2E_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnoliaspread {

class process {
public:
  /// Appends standard error to \p LogFile. Standard output goes there too with
  /// \p LogOutput; otherwise firstLine() reads it.
  process(const std::vector<std::string> &Command, const std::string &LogFile,
          bool LogOutput = false);
  ~process();
  process(process &&Other) noexcept;
  process &operator=(process &&Other) noexcept;
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  void signal(int Number) const;
  /// Sends SIGKILL and waits for the exit.
  void kill();
  /// Exit code, or nothing when the process still runs after \p Limit.
  std::optional<int> wait(std::chrono::milliseconds Limit);
  /// First line of the process's standard output.
  std::string firstLine();
  bool running() const { return Pid > 0; }
  /// Resident memory in bytes.
  std::size_t residentBytes() const;
  /// Peak resident memory in bytes.
  std::size_t peakBytes() const;

private:
  pid_t Pid = -1;
  int Output = -1;
};

/// A port of 127.0.0.1, reserved until this program exits for processes that
/// it starts.
std::uint16_t freePort();

} // namespace magnoliaspread

#endif
