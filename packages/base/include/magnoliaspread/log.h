/// Structured logs: one line of key=value pairs for each event, through glog.
#ifndef MAGNOLIASPREAD_LOG_H
#define MAGNOLIASPREAD_LOG_H

#include <magnoliaspread/clock.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace magnoliaspread {

enum class log_level { Info, Warning, Error };

struct log_field {
  std::string_view Key;
  std::string Value;

  log_field(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  template <class Number>
  requires std::integral<Number> || std::floating_point<Number>
  log_field(std::string_view Key, Number Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Lines on their way out, bounded in bytes and in lines a second. What does
/// not fit is dropped and counted.
class log_buffer {
public:
  explicit log_buffer(steady_time Now) : RefilledAt(Now) {}

  /// False when the line is dropped.
  bool add(std::string_view Line, steady_time Now);

  std::string_view pending() const { return Pending; }
  /// Forgets the first \p Bytes of what is pending.
  void written(std::size_t Bytes) { Pending.erase(0, Bytes); }

  /// Lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  std::string Pending;
  /// Lines that may be added now; starts with one second's.
  double Lines = 1000;
  steady_time RefilledAt;
  std::uint64_t Dropped = 0;
};

/// Starts glog for a program that logs to standard error.
void initLog(const char *Program);

/// The same to standard output, through a log_buffer. Nothing is written but
/// by flushLog(). \p Clock outlives the program's last line.
void initOutputLog(const char *Program, const clock &Clock);

/// Writes as much as standard output takes without blocking.
void flushLog();

/// Formats \p Fields after `event=Event`. Values with spaces, quotes or
/// control characters are quoted and escaped.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

} // namespace magnoliaspread

#endif
