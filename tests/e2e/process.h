/// A program started by a test; ended, at the latest, with the object.
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
  /// Standard error goes to \p LogFile, which is appended to; standard output
  /// too when \p LogsOutput, else firstLine() reads it.
  process(const std::vector<std::string> &Command, const std::string &LogFile,
          bool LogsOutput = false);
  ~process();
  process(process &&Other) noexcept;
  process &operator=(process &&Other) noexcept;
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  void signal(int Number) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Exit code, or nothing when it still runs after \p Limit.
  std::optional<int> wait(std::chrono::milliseconds Limit);
  /// First line of the process's standard output.
  std::string firstLine();
  bool running() const { return Pid > 0; }
  /// Resident memory in bytes.
  std::size_t residentBytes() const;
  /// The most that it has been, in bytes.
  std::size_t peakBytes() const;

private:
  pid_t Pid = -1;
  int Output = -1;
};

/// A port of 127.0.0.1 that stays reserved for servers which this program
/// starts.
std::uint16_t freePort();

} // namespace magnoliaspread

#endif
