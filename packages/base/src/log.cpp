#include <magnoliaspread/log.h>

#include <algorithm>
#include <cctype>
#include <glog/logging.h>
#include <memory>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace magnoliaspread {

namespace {

/// A request logs a line of about 300 bytes, and an instance serves at most a
/// few hundred requests a second.
constexpr std::size_t MaxPendingBytes = 256u << 10;
constexpr double LinesPerSecond = 1000;
constexpr double LineBurst = 1000;
/// A pipe reported as writable accepts this much without blocking (PIPE_BUF).
constexpr std::size_t WriteBytes = 4096;

/// Buffers glog's lines for flushLog().
class output_sink final : public google::LogSink {
public:
  explicit output_sink(const clock &Clock) : Clock(Clock), Lines(Clock.now()) {}

  void send(google::LogSeverity Severity, const char *, const char *File,
            int Line, const google::LogMessageTime &Time, const char *Message,
            std::size_t Length) override {
    std::string Text =
        ToString(Severity, File, Line, Time, Message, Length) + '\n';
    Lines.add(Text, Clock.now());
  }

  void flush();

private:
  void reportDropped();

  const clock &Clock;
  log_buffer Lines;
};

void output_sink::reportDropped() {
  if (const std::uint64_t Dropped = Lines.takeDropped())
    Lines.add("event=log_dropped lines=" + std::to_string(Dropped) + '\n',
              Clock.now());
}

void output_sink::flush() {
  reportDropped();
  while (!Lines.pending().empty()) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
      return;
    const std::string_view Part = Lines.pending().substr(0, WriteBytes);
    const ssize_t Count = write(STDOUT_FILENO, Part.data(), Part.size());
    if (Count <= 0)
      return;
    Lines.consume(static_cast<std::size_t>(Count));
  }
}

/// Null when logging to standard error.
std::unique_ptr<output_sink> Output;

google::LogSeverity severityOf(log_level Level) {
  switch (Level) {
  case log_level::Info:
    return google::GLOG_INFO;
  case log_level::Warning:
    return google::GLOG_WARNING;
  case log_level::Error:
    return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

/// True for characters that need neither quotes nor escapes.
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

void initOutputLog(const char *Program, const clock &Clock) {
  google::InitGoogleLogging(Program);
  google::InstallFailureSignalHandler();
  Output = std::make_unique<output_sink>(Clock);
}

void flushLog() {
  if (Output != nullptr)
    Output->flush();
}

bool log_buffer::add(std::string_view Line, steady_time Now) {
  const std::chrono::duration<double> Passed = Now - RefilledAt;
  Lines = std::min(LineBurst, Lines + Passed.count() * LinesPerSecond);
  RefilledAt = Now;
  if (Lines < 1 || Pending.size() + Line.size() > MaxPendingBytes) {
    ++Dropped;
    return false;
  }
  Lines -= 1;
  Pending += Line;
  return true;
}

std::uint64_t log_buffer::takeDropped() { return std::exchange(Dropped, 0); }

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
  if (Output != nullptr) {
    const google::LogSeverity Severity = severityOf(Level);
    google::LogMessage(__FILE__, __LINE__, Severity, Output.get(), false)
            .stream()
        << Line;
    return;
  }
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
