/// Structured logs: one line of key=value pairs for each event, through glog.
#ifndef MAGNOLIASPREAD_LOG_H
#define MAGNOLIASPREAD_LOG_H

#include <concepts>
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

/// Starts glog for a program that logs to standard error.
void initLog(const char *Program);

/// Formats \p Fields after `event=Event`. Values with spaces, quotes or
/// control characters are quoted and escaped.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields);

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

} // namespace magnoliaspread

#endif
