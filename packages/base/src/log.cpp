#include <magnoliaspread/log.h>

#include <algorithm>
#include <cctype>
#include <glog/logging.h>

namespace magnoliaspread {

namespace {

bool isPlain(char C) {
  return std::isgraph(static_cast<unsigned char>(C)) != 0 && C != '"' &&
         C != '=' && C != '\\';
}

void appendEscaped(std::string &Line, char C) {
  if (C == '"' || C == '\\')
    Line += '\\';
  Line += std::iscntrl(static_cast<unsigned char>(C)) != 0 ? ' ' : C;
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char C : Value)
    appendEscaped(Line, C);
  Line += '"';
}

} // namespace

void initLog(const char *Program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields) {
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const log_field &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    appendValue(Line, Field.Value);
  }
  return Line;
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  const std::string Line = formatEvent(Event, Fields);
  switch (Level) {
  case log_level::Info:
    LOG(INFO) << Line;
    return;
  case log_level::Warning:
    LOG(WARNING) << Line;
    return;
  case log_level::Error:
    LOG(ERROR) << Line;
    return;
  }
}

} // namespace magnoliaspread
