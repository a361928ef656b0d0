/// Runs the stand-in of the platform as a process.
#include "platform_server.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

int run(std::uint16_t Port, const std::string &LoadFile) {
  boost::asio::io_context Io(1);
  magnoliaspread::platform_server Server(Io, Port);
  if (!LoadFile.empty()) {
    std::ifstream File(LoadFile);
    const std::string Text{std::istreambuf_iterator<char>(File), {}};
    if (failed(Server.load(Text))) {
      std::cerr << "not a JSON object of objects: " << LoadFile << '\n';
      return 1;
    }
  }
  std::cout << "listening port=" << Server.port()
            << " control=" << Server.controlPort() << std::endl;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&Io](auto, int) { Io.stop(); });
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) try {
  CLI::App App("Stand-in for the platform's object API");
  std::uint16_t Port = 0;
  std::string LoadFile;
  App.add_option("--port", Port, "port to listen on; 0 takes a free one");
  App.add_option("--load", LoadFile, "JSON object of name -> value");
  CLI11_PARSE(App, Argc, Argv);
  return run(Port, LoadFile);
} catch (const std::exception &Error) {
  std::cerr << Error.what() << '\n';
  return 1;
}
