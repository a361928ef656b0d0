#include "process.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds PollPause{10};

std::vector<char *> argumentsOf(const std::vector<std::string> &Command) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  return Arguments;
}

} // namespace

process::process(const std::vector<std::string> &Command,
                 const std::string &LogFile, bool LogOutput) {
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("pipe2 failed");
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (LogOutput)
    posix_spawn_file_actions_adddup2(&Actions, STDERR_FILENO, STDOUT_FILENO);
  const std::vector<char *> Arguments = argumentsOf(Command);
  const int Failure = posix_spawn(&Pid, Arguments[0], &Actions, nullptr,
                                  Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  close(Pipe[1]);
  Output = Pipe[0];
  if (Failure != 0)
    throw std::runtime_error(Command[0] + ": " + std::strerror(Failure));
}

process::~process() {
  kill();
  if (Output >= 0)
    close(Output);
}

process::process(process &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)),
      Output(std::exchange(Other.Output, -1)) {}

process &process::operator=(process &&Other) noexcept {
  std::swap(Pid, Other.Pid);
  std::swap(Output, Other.Output);
  return *this;
}

void process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

void process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

std::optional<int> process::wait(milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  for (;;) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid) {
      Pid = -1;
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
    }
    if (std::chrono::steady_clock::now() >= End)
      return std::nullopt;
    std::this_thread::sleep_for(PollPause);
  }
}

std::string process::firstLine() {
  std::string Line;
  char C = 0;
  while (read(Output, &C, 1) == 1 && C != '\n')
    Line += C;
  return Line;
}

std::size_t process::residentBytes() const {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t process::peakBytes() const {
  constexpr std::size_t Kilobyte = 1024;
  constexpr std::string_view Field = "VmHWM:";
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Field))
      return std::stoul(Line.substr(Field.size())) * Kilobyte;
  return 0;
}

/// The socket stays bound until this program exits, so that the kernel assigns
/// the port to no outgoing connection. A process that sets SO_REUSEADDR can
/// still listen on it, also after a restart.
std::uint16_t freePort() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound = bind(Socket, Generic, Length) == 0 &&
                     getsockname(Socket, Generic, &Length) == 0;
  if (!Bound) {
    close(Socket);
    throw std::runtime_error("no free port");
  }
  return ntohs(Address.sin_port);
}

} // namespace magnoliaspread
