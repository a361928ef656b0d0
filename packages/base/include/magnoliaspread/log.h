/// Structured logging through glog: one line of key=value pairs per event.
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

/// Output buffer of log lines, limited in bytes and in lines a second. Lines
/// beyond the limits are dropped and counted.
class log_buffer {
public:
  explicit log_buffer(steady_time Now) : RefilledAt(Now) {}

  /// False when the line is dropped.
  bool add(std::string_view Line, steady_time Now);

  std::string_view pending() const { return Pending; }
  /// Removes the first \p Bytes of pending().
  void consume(std::size_t Bytes) { Pending.erase(0, Bytes); }

  /// Lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  std::string Pending;
  /// Token bucket of lines; starts full.
  double Lines = 1000;
  steady_time RefilledAt;
  std::uint64_t Dropped = 0;
};

/// Initializes glog with output to standard error.
void initLog(const char *Program);

/// Initializes glog with output to standard output through a log_buffer. Only
/// flushLog() writes. \p Clock must outlive the last log line.
void initOutputLog(const char *Program, const clock &Clock);

/// Writes as much as standard output accepts without blocking.
void flushLog();

/// Formats \p Fields after `event=Event`. Values with spaces, quotes or
/// control characters are quoted and escaped.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

} // namespace magnoliaspread

#endif
