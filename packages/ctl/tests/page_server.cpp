#include "page_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

namespace magnoliaspread {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr const char *StopTarget = "/stop";

std::string answerTo(const std::map<std::string, std::string> &Pages,
                     const std::string &Target) {
  auto Found = Pages.find(Target);
  bool Known = Found != Pages.end();
  std::string Body = Known ? Found->second : "no page";
  std::string Head = Known ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found";
  Head += "\r\nContent-Length: " + std::to_string(Body.size());
  return Head + "\r\nConnection: close\r\n\r\n" + Body;
}

} // namespace

struct page_server::state {
  explicit state(std::map<std::string, std::string> Given)
      : Pages(std::move(Given)) {}

  void serve();
  /// False when asked to stop.
  bool answer(tcp::socket Socket);

  std::map<std::string, std::string> Pages;
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  std::vector<tcp::socket> Unanswered;
  std::thread Thread;
};

bool page_server::state::answer(tcp::socket Socket) {
  boost::system::error_code Failure;
  std::string Head;
  asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Failure);
  std::size_t From = Head.find(' ') + 1;
  std::string Target = Head.substr(From, Head.find(' ', From) - From);
  if (Target == StopTarget)
    return false;
  auto Found = Pages.find(Target);
  if (Found != Pages.end() && Found->second == "silent")
    Unanswered.push_back(std::move(Socket));
  else
    asio::write(Socket, asio::buffer(answerTo(Pages, Target)), Failure);
  return true;
}

void page_server::state::serve() {
  bool Serving = true;
  while (Serving) {
    boost::system::error_code Failure;
    tcp::socket Socket(Io);
    Acceptor.accept(Socket, Failure);
    Serving = !Failure && answer(std::move(Socket));
  }
}

page_server::page_server(std::map<std::string, std::string> Pages)
    : State(std::make_unique<state>(std::move(Pages))) {
  State->Thread = std::thread([this] { State->serve(); });
}

page_server::~page_server() {
  boost::system::error_code Failure;
  tcp::socket Last(State->Io);
  Last.connect(State->Acceptor.local_endpoint(), Failure);
  std::string Stop = std::string("GET ") + StopTarget + " HTTP/1.1\r\n\r\n";
  asio::write(Last, asio::buffer(Stop), Failure);
  State->Thread.join();
}

std::string page_server::address() const {
  return "127.0.0.1:" + std::to_string(State->Acceptor.local_endpoint().port());
}

} // namespace magnoliaspread
