#include "load.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <random>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds AnswerTimeout{40000};
constexpr milliseconds LookupRetry{200};

using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

struct caller_connection {
  explicit caller_connection(asio::io_context &Context) : Stream(Context) {}
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

using connection_ptr = std::unique_ptr<caller_connection>;

struct destination {
  load_address Where;
  std::vector<connection_ptr> Idle;
};

class load {
public:
  explicit load(const load_plan &Plan) : Plan(Plan), Random(Plan.Seed) {
    for (const load_address &Where : Plan.Entry)
      Destinations.push_back(
          std::make_unique<destination>(destination{Where, {}}));
  }

  tally run();

private:
  asio::awaitable<void> refreshLookups();
  asio::awaitable<bool> lookUp(const load_address &Where);
  void updateDestinations(const boost::json::value &Answer);
  asio::awaitable<void> generateArrivals(const workspace_load &Workspace);
  asio::awaitable<void> call(const workspace_load &Workspace,
                             destination &Destination);
  asio::awaitable<bool> exchange(destination &Destination,
                                 const text_request &Request,
                                 text_response &Answer);
  text_request makeRequest(const workspace_load &Workspace,
                           const std::string &Nonce);
  void count(workspace_tally &Row, const workspace_load &Workspace,
             const std::string &Nonce, const text_response &Answer,
             microseconds Elapsed);
  asio::awaitable<void> showProgress();
  void finishOne();

  const load_plan &Plan;
  std::mt19937_64 Random;
  asio::io_context Context{1};
  /// Never shrinks: requests in flight refer to their destination.
  std::vector<std::unique_ptr<destination>> Destinations;
  std::vector<destination *> Current;
  std::size_t NextDestination = 0;
  std::uint64_t NextNonce = 0;
  std::size_t InFlight = 0;
  bool Stopping = false;
  tally Tally;
};

asio::awaitable<bool> load::lookUp(const load_address &Where) {
  destination Entry{Where, {}};
  text_request Request(http::verb::get, "/v1/lookup", 11);
  Request.set(http::field::host, "fleet");
  text_response Answer;
  if (!co_await exchange(Entry, Request, Answer) ||
      Answer.result() != http::status::ok)
    co_return false;
  boost::system::error_code Failure;
  const boost::json::value Value = boost::json::parse(Answer.body(), Failure);
  if (Failure)
    co_return false;
  updateDestinations(Value);
  co_return !Current.empty();
}

void load::updateDestinations(const boost::json::value &Answer) {
  std::vector<destination *> Named;
  for (const auto &Row : Answer.at("instances").as_array()) {
    const load_address Where{Row.at("address").as_string().c_str(),
                             Row.at("port").to_number<std::uint16_t>()};
    const auto Known = std::find_if(
        Destinations.begin(), Destinations.end(), [&](const auto &Destination) {
          return Destination->Where.Port == Where.Port &&
                 Destination->Where.Address == Where.Address;
        });
    if (Known != Destinations.end()) {
      Named.push_back(Known->get());
      continue;
    }
    Destinations.push_back(
        std::make_unique<destination>(destination{Where, {}}));
    Named.push_back(Destinations.back().get());
  }
  if (!Named.empty())
    Current = std::move(Named);
}

asio::awaitable<void> load::refreshLookups() {
  asio::steady_timer Timer(Context);
  for (std::size_t I = 0; !Stopping; ++I) {
    const bool Found = co_await lookUp(Plan.Entry[I % Plan.Entry.size()]);
    Timer.expires_after(Found ? milliseconds(1000) : LookupRetry);
    co_await Timer.async_wait(Awaited);
  }
}

asio::awaitable<bool> load::exchange(destination &Destination,
                                     const text_request &Request,
                                     text_response &Answer) {
  connection_ptr Connection;
  if (!Destination.Idle.empty()) {
    Connection = std::move(Destination.Idle.back());
    Destination.Idle.pop_back();
  } else {
    Connection = std::make_unique<caller_connection>(Context);
    Connection->Stream.expires_after(AnswerTimeout);
    const tcp::endpoint Where(asio::ip::make_address(Destination.Where.Address),
                              Destination.Where.Port);
    auto [Failure] = co_await Connection->Stream.async_connect(Where, Awaited);
    if (Failure)
      co_return false;
    Connection->Stream.socket().set_option(tcp::no_delay(true), Failure);
  }
  Connection->Stream.expires_after(AnswerTimeout);
  auto [WriteFailure, Written] =
      co_await http::async_write(Connection->Stream, Request, Awaited);
  auto [Failure, Read] = co_await http::async_read(
      Connection->Stream, Connection->Buffer, Answer, Awaited);
  if (Failure)
    co_return false;
  if (Answer.keep_alive() && !WriteFailure)
    Destination.Idle.push_back(std::move(Connection));
  co_return true;
}

text_request load::makeRequest(const workspace_load &Workspace,
                               const std::string &Nonce) {
  const bool Body = Plan.BodyBytes > 0 || Plan.AtMostOnce;
  text_request Request(Body ? http::verb::post : http::verb::get,
                       Workspace.Path, 11);
  Request.set(http::field::host, "fleet");
  Request.set("X-Api-Key", Workspace.Key);
  Request.set("X-Nonce", Nonce);
  Request.set("X-Request-Id", Nonce);
  if (Plan.AtMostOnce) {
    Request.set("X-Repeatable", "no");
    Request.set("Idempotency-Key", Nonce);
  }
  if (Body)
    Request.body().assign(Plan.BodyBytes, 'b');
  Request.prepare_payload();
  return Request;
}

void load::count(workspace_tally &Row, const workspace_load &Workspace,
                 const std::string &Nonce, const text_response &Answer,
                 microseconds Elapsed) {
  if (Answer.result() != http::status::ok) {
    const std::string Kind(Answer["X-Error"]);
    ++Row.Refused[Kind.empty() ? "status_" + std::to_string(Answer.result_int())
                               : Kind];
    return;
  }
  const std::string NonceField = "\"nonce\":\"" + Nonce + "\"";
  const std::string WorkspaceField =
      "\"workspace\":\"" + Workspace.Workspace + "\"";
  const bool Matches =
      Answer.body().find(NonceField) != std::string::npos &&
      (Plan.Direct || Answer.body().find(WorkspaceField) != std::string::npos);
  if (!Matches) {
    ++Row.Wrong;
    return;
  }
  ++Row.Answered;
  Row.Latencies.push_back(Elapsed);
}

asio::awaitable<void> load::call(const workspace_load &Workspace,
                                 destination &Destination) {
  const std::string Nonce =
      "n" + std::to_string(Plan.Seed) + "-" + std::to_string(++NextNonce);
  workspace_tally &Row = Tally.Workspaces[Workspace.Workspace];
  ++Row.Sent;
  const auto Start = steady_clock::now();
  const text_request Request = makeRequest(Workspace, Nonce);
  text_response Answer;
  if (co_await exchange(Destination, Request, Answer))
    count(Row, Workspace, Nonce, Answer,
          duration_cast<microseconds>(steady_clock::now() - Start));
  else
    ++Row.Refused["no_answer"];
  finishOne();
}

void load::finishOne() {
  if (--InFlight == 0)
    Stopping = true;
}

asio::awaitable<void> load::generateArrivals(const workspace_load &Workspace) {
  std::exponential_distribution<double> Gap(Workspace.Rate);
  asio::steady_timer Timer(Context);
  auto Next = steady_clock::now();
  const auto End = Next + Plan.Duration;
  for (;;) {
    Next += duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(Gap(Random)));
    if (Next >= End)
      break;
    Timer.expires_at(Next);
    co_await Timer.async_wait(Awaited);
    destination &Destination = *Current[NextDestination++ % Current.size()];
    ++InFlight;
    asio::co_spawn(Context, call(Workspace, Destination), asio::detached);
  }
  finishOne();
}

asio::awaitable<void> load::showProgress() {
  asio::steady_timer Timer(Context);
  while (!Stopping) {
    Timer.expires_after(std::chrono::seconds(1));
    co_await Timer.async_wait(Awaited);
    const workspace_tally Total = Tally.total();
    std::cout << "progress sent=" << Total.Sent
              << " answered=" << Total.Answered << " open=" << InFlight
              << std::endl;
  }
}

tally load::run() {
  if (Plan.Direct)
    for (const auto &Destination : Destinations)
      Current.push_back(Destination.get());
  else
    asio::co_spawn(Context, refreshLookups(), asio::detached);
  const auto Deadline = steady_clock::now() + AnswerTimeout;
  while (Current.empty() && steady_clock::now() < Deadline)
    Context.run_one_for(LookupRetry);
  if (Current.empty())
    return Tally;
  InFlight = Plan.Workspaces.size();
  for (const workspace_load &Workspace : Plan.Workspaces)
    asio::co_spawn(Context, generateArrivals(Workspace), asio::detached);
  if (Plan.Progress)
    asio::co_spawn(Context, showProgress(), asio::detached);
  while (!Stopping)
    Context.run_one_for(LookupRetry);
  return Tally;
}

} // namespace

tally runLoad(const load_plan &Plan) {
  load Load(Plan);
  return Load.run();
}

} // namespace magnoliaspread
