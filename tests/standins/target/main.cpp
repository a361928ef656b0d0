/// Serves all targets of a table in one process, one port each. An admin port
/// accepts faults and returns the record.
#include "endpoint.h"

#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

struct program {
  asio::io_context Context{1};
  endpoint_options Options;
  target_record Record;
  std::map<std::string, std::unique_ptr<endpoint>> Endpoints;
};

bool flag(const boost::json::object &Command, const char *Name, bool Default) {
  const auto *Value = Command.if_contains(Name);
  return Value != nullptr && Value->is_bool() ? Value->get_bool() : Default;
}

void applyFaults(endpoint &Endpoint, const boost::json::object &Command) {
  endpoint_faults &Faults = Endpoint.Faults;
  if (const auto *Slow = Command.if_contains("slow_ms"))
    Faults.Slow = std::chrono::milliseconds(Slow->to_number<int>());
  Faults.Shed = flag(Command, "shed", Faults.Shed);
  Faults.WrongRequestId = flag(Command, "crossed", Faults.WrongRequestId);
  Faults.ReportNoLoad = flag(Command, "lying", Faults.ReportNoLoad);
  Faults.TruncateAnswers = flag(Command, "cut_answers", Faults.TruncateAnswers);
  if (flag(Command, "silence", false))
    Endpoint.stallConnections();
  if (flag(Command, "crash", false))
    Endpoint.crash();
}

/// Applies faults such as {"target":"t1","shed":true}; "*" means all targets.
std::string applyFaultRequest(program &Program, const std::string &Text) {
  boost::system::error_code Failure;
  const boost::json::value Value = boost::json::parse(Text, Failure);
  if (Failure || !Value.is_object())
    return "{\"error\":\"not a JSON object\"}";
  const boost::json::object &Command = Value.get_object();
  const auto *Name = Command.if_contains("target");
  const std::string Target =
      Name != nullptr && Name->is_string() ? Name->get_string().c_str() : "*";
  int Count = 0;
  for (auto &[Key, Endpoint] : Program.Endpoints) {
    if (Target != "*" && Target != Key)
      continue;
    applyFaults(*Endpoint, Command);
    ++Count;
  }
  return "{\"targets\":" + std::to_string(Count) + "}";
}

asio::awaitable<void> serveAdmin(program &Program, tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  for (;;) {
    http::request<http::string_body> Request;
    auto [Failure, Read] =
        co_await http::async_read(Socket, Buffer, Request, Awaited);
    if (Failure)
      co_return;
    http::response<http::string_body> Answer(http::status::ok, 11);
    Answer.body() = Request.target() == "/faults"
                        ? applyFaultRequest(Program, Request.body())
                        : formatRecord(Program.Record);
    Answer.keep_alive(Request.keep_alive());
    Answer.prepare_payload();
    auto [Problem, Written] =
        co_await http::async_write(Socket, Answer, Awaited);
    if (Problem || !Answer.keep_alive())
      co_return;
  }
}

asio::awaitable<void> acceptAdmin(program &Program, tcp::acceptor &Acceptor) {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor.async_accept(Awaited);
    if (Failure)
      co_return;
    asio::co_spawn(Program.Context, serveAdmin(Program, std::move(Socket)),
                   asio::detached);
  }
}

std::string readFile(const std::string &Name) {
  std::ifstream File(Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Merges rows with the same address and port into one; their slots add up.
std::vector<target_row> mergeByPort(const std::vector<target_row> &Rows) {
  std::vector<target_row> Merged;
  for (const target_row &Row : Rows) {
    const auto Same = std::find_if(
        Merged.begin(), Merged.end(), [&](const target_row &Known) {
          return Known.Port == Row.Port && Known.Address == Row.Address;
        });
    if (Same == Merged.end())
      Merged.push_back(Row);
    else
      Same->Slots += Row.Slots;
  }
  return Merged;
}

int runTargets(const config_table &Table, const endpoint_options &Options,
               std::uint16_t AdminPort) {
  program Program;
  Program.Options = Options;
  for (const target_row &Row : mergeByPort(Table.Targets)) {
    auto Endpoint = std::make_unique<endpoint>(Program.Context, Row,
                                               Program.Options, Program.Record);
    Endpoint->listen();
    Program.Endpoints.emplace(Row.Name, std::move(Endpoint));
  }
  tcp::acceptor Admin(Program.Context,
                      {asio::ip::make_address("127.0.0.1"), AdminPort});
  asio::co_spawn(Program.Context, acceptAdmin(Program, Admin), asio::detached);
  asio::signal_set Signals(Program.Context, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Program.Context.stop(); });
  std::cout << "listening port=" << Admin.local_endpoint().port() << std::endl;
  Program.Context.run();
  return 0;
}

} // namespace

} // namespace magnoliaspread

static int runProgram(int Argc, char **Argv) {
  CLI::App App("Plays the targets of a table");
  std::string TableFile;
  std::uint16_t AdminPort = 0;
  int WorkMs = 5;
  int RestartMs = 1000;
  magnoliaspread::endpoint_options Options;
  App.add_option("--table", TableFile, "table whose targets are played")
      ->required();
  App.add_option("--admin", AdminPort, "admin port; 0 picks a free one");
  App.add_option("--work-ms", WorkMs, "time that a request takes");
  App.add_option("--restart-ms", RestartMs, "absence after a crash");
  App.add_option("--backlog", Options.Backlog, "requests beyond the slots");
  CLI11_PARSE(App, Argc, Argv);
  Options.Work = std::chrono::milliseconds(WorkMs);
  Options.Restart = std::chrono::milliseconds(RestartMs);
  const auto Table =
      magnoliaspread::parseTable(magnoliaspread::readFile(TableFile));
  if (magnoliaspread::failed(Table)) {
    std::cerr << magnoliaspread::errorOf(Table).Detail << '\n';
    return 1;
  }
  return magnoliaspread::runTargets(magnoliaspread::valueOf(Table), Options,
                                    AdminPort);
}

int main(int Argc, char **Argv) {
  try {
    return runProgram(Argc, Argv);
  } catch (const std::exception &Problem) {
    std::fputs(Problem.what(), stderr);
    return 1;
  }
}
