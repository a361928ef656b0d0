#include "session_p.h"

#include "answer_p.h"
#include "heads_p.h"
#include "relay_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/lookup.h>
#include <magnoliaspread/traffic.h>

#include <optional>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr unsigned MaxAttempts = 3;
constexpr milliseconds IdleTimeout{60000};
constexpr milliseconds LingerTime{1000};
constexpr std::size_t MaxLingerBytes = 1u << 20;

/// Adds one to a count for as long as it lives.
class live_count {
public:
  explicit live_count(std::size_t &Count) : Count(Count) { ++Count; }
  ~live_count() { --Count; }
  live_count(const live_count &) = delete;
  live_count &operator=(const live_count &) = delete;

private:
  std::size_t &Count;
};

class session {
public:
  session(tcp::socket Connected, thread_state &State, entry_port Port)
      : Socket(std::move(Connected)), State(State), Port(Port) {}

  asio::awaitable<void> run();

private:
  asio::awaitable<bool> readHead();
  asio::awaitable<void> refuseHead(error_code Failure);
  asio::awaitable<bool> serveRequest();
  asio::awaitable<bool> serveLookup();
  asio::awaitable<bool> serveConfig();
  asio::awaitable<bool> steer(const admitted_request &Request);
  asio::awaitable<relay_outcome> attempt(const admitted_request &Request,
                                         caller_side &Caller,
                                         const dispatch_place &Place);
  asio::awaitable<upstream_ptr> reach(const dispatch_place &Place,
                                      const admitted_request &Request,
                                      relay_outcome &Outcome);
  result<admitted_request> admit();
  asio::awaitable<bool> refuse(const error &Error, std::string_view Id);
  asio::awaitable<bool> send(text_response Response);
  asio::awaitable<void> linger();
  bool mayRetry(const admitted_request &Request, const caller_side &Caller,
                const relay_outcome &Outcome, unsigned Attempts) const;
  void logEnd(const admitted_request &Request, const relay_outcome &Outcome,
              std::string_view Place, unsigned Attempts) const;

  tcp::socket Socket;
  thread_state &State;
  entry_port Port;
  beast::flat_buffer Buffer;
  std::optional<caller_parser> Parser;
  traffic_view_ptr View;
  steady_time ArrivedAt;
};

/// Stops a connection's reads when its head does not come in time.
class read_timer {
public:
  read_timer(tcp::socket &Socket, milliseconds Limit)
      : Timer(Socket.get_executor(), Limit) {
    Timer.async_wait([&Socket](error_code Stopped) {
      if (!Stopped)
        Socket.cancel(Stopped);
    });
  }

private:
  asio::steady_timer Timer;
};

asio::awaitable<bool> session::readHead() {
  Parser.emplace();
  Parser->header_limit(
      static_cast<std::uint32_t>(State.Settings.MaxHeaderBytes));
  Parser->body_limit(boost::none);
  error_code Failure;
  {
    read_timer Timer(Socket, IdleTimeout);
    auto [Problem, Count] =
        co_await http::async_read_header(Socket, Buffer, *Parser, Awaited);
    Failure = Problem;
  }
  if (Failure)
    co_await refuseHead(Failure);
  co_return !Failure;
}

/// Answers a head that can't be read; a mere end of the connection has none.
asio::awaitable<void> session::refuseHead(error_code Failure) {
  if (Failure.category() !=
      http::make_error_code(http::error::bad_method).category())
    co_return;
  if (Failure == http::error::end_of_stream)
    co_return;
  const bool TooLarge = Failure == http::error::header_limit ||
                        Failure == http::error::buffer_overflow;
  const error Error{TooLarge ? error_kind::HeaderTooLarge
                             : error_kind::BadRequest,
                    Failure.message(),
                    {}};
  co_await send(errorResponse(Error, {}, false));
  co_await linger();
}

asio::awaitable<bool> session::send(text_response Response) {
  const bool Keep = Response.keep_alive();
  auto [Failure, Count] = co_await http::async_write(Socket, Response, Awaited);
  co_return Keep && !Failure;
}

/// Takes in what the caller still sends, so that the answer is not lost to a
/// reset of the connection.
asio::awaitable<void> session::linger() {
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  read_timer Timer(Socket, LingerTime);
  std::vector<char> Sink(16384);
  for (std::size_t Taken = 0; Taken < MaxLingerBytes;) {
    auto [Failure, Count] =
        co_await Socket.async_read_some(asio::buffer(Sink), Awaited);
    if (Failure)
      co_return;
    Taken += Count;
  }
}

asio::awaitable<bool> session::refuse(const error &Error, std::string_view Id) {
  const bool Keep = Parser->is_done() && Parser->keep_alive();
  const bool Sent = co_await send(errorResponse(Error, Id, Keep));
  if (!Keep)
    co_await linger();
  co_return Sent;
}

asio::awaitable<bool> session::serveLookup() {
  const result<lookup_query> Query = parseLookup(Parser->get().target());
  if (failed(Query))
    co_return co_await refuse(errorOf(Query), {});
  const result<std::string> Answer =
      answerLookup(*View, valueOf(Query), State.Settings.LookupTtl);
  if (failed(Answer))
    co_return co_await refuse(errorOf(Answer), {});
  co_return co_await send(
      jsonResponse(valueOf(Answer), Parser->is_done() && Parser->keep_alive()));
}

/// Answers a peer that asks for the configuration in force.
asio::awaitable<bool> session::serveConfig() {
  const status Verified =
      verifyPeer(Parser->get().base(), State.Secret, State.Clock.wall());
  if (failed(Verified))
    co_return co_await refuse(errorOf(Verified), {});
  if (View->Config == nullptr)
    co_return co_await refuse(
        {error_kind::NotFound, "no configuration is in force", {}}, {});
  co_return co_await send(
      jsonResponse(formatTable(View->Config->Table), false));
}

result<admitted_request> session::admit() {
  if (View->Config == nullptr)
    return error{error_kind::NoCapacity, "no configuration is in force", {}};
  const request_header &Head = Parser->get().base();
  if (Port == entry_port::Internal)
    return admitForwarded(Head, *View->Config, State.Secret, ArrivedAt,
                          State.Clock.wall());
  return admitRequest(*View->Config, magnoliaspread::readHead(Head), ArrivedAt,
                      State.IdPrefix + std::to_string(++State.NextId));
}

asio::awaitable<bool> session::serveRequest() {
  View = State.View;
  ArrivedAt = State.Clock.now();
  const live_count Mark(State.InFlight);
  if (Port == entry_port::Internal && Parser->get().target() == ConfigPath)
    co_return co_await serveConfig();
  if (Port == entry_port::Public &&
      Parser->get().target().starts_with(LookupPath))
    co_return co_await serveLookup();
  const result<admitted_request> Request = admit();
  if (failed(Request))
    co_return co_await refuse(errorOf(Request), {});
  co_return co_await steer(valueOf(Request));
}

/// Finds a connection to \p Place; null with the outcome's error when none
/// could be opened.
asio::awaitable<upstream_ptr> session::reach(const dispatch_place &Place,
                                             const admitted_request &Request,
                                             relay_outcome &Outcome) {
  upstream_ptr Idle = State.Pool.takeIdle(Place.Address);
  if (Idle != nullptr)
    co_return Idle;
  auto Fresh = co_await State.Pool.connect(Place.Address, Request.Deadline);
  if (failed(Fresh)) {
    Outcome.Error = errorOf(Fresh);
    Outcome.Died = true;
    co_return nullptr;
  }
  co_return std::move(valueOf(Fresh));
}

asio::awaitable<relay_outcome> session::attempt(const admitted_request &Request,
                                                caller_side &Caller,
                                                const dispatch_place &Place) {
  relay_outcome Outcome;
  upstream_ptr Connection = co_await reach(Place, Request, Outcome);
  if (Connection == nullptr)
    co_return Outcome;
  const config_index &Index = *View->Config;
  const request_header &Head = Parser->get().base();
  const steady_time Now = State.Clock.now();
  relay_request Relay;
  Relay.Head =
      Place.Kind == upstream_kind::Target
          ? targetHead(Head, Request, Index, Now)
          : peerHead(Head, Request, Index, Now,
                     {State.Settings.Name, State.Secret, State.Clock.wall()},
                     Place.CreditGrant);
  Relay.Id = Request.Id;
  Relay.To = Place.Kind;
  Relay.Deadline = Request.Deadline;
  Relay.ProgressTimeout =
      Index.Table.Services[Request.Service.Index].ProgressTimeout;
  Outcome = co_await relayExchange(Caller, *Connection, std::move(Relay));
  if (Outcome.UpstreamReusable)
    State.Pool.putBack(Place.Address, std::move(Connection));
  co_return Outcome;
}

bool session::mayRetry(const admitted_request &Request,
                       const caller_side &Caller, const relay_outcome &Outcome,
                       unsigned Attempts) const {
  if (Attempts >= MaxAttempts || Caller.AnswerStarted || !Caller.canRewind())
    return false;
  if (Outcome.Error.Kind == error_kind::CallerGone ||
      Outcome.Error.Kind == error_kind::RequestStalled ||
      State.Clock.now() >= Request.Deadline)
    return false;
  const bool NotRun = answerOf(Outcome.Error.Kind).Run == run_state::NotRun;
  return NotRun || Request.Repeatable;
}

void session::logEnd(const admitted_request &Request,
                     const relay_outcome &Outcome, std::string_view Place,
                     unsigned Attempts) const {
  const config_table &Table = View->Config->Table;
  const auto Elapsed =
      duration_cast<microseconds>(State.Clock.now() - ArrivedAt);
  logEvent(log_level::Info, "request",
           {{"request_id", Request.Id},
            {"service", Table.Services[Request.Service.Index].Name},
            {"workspace", Request.Workspace.valid()
                              ? Table.Workspaces[Request.Workspace.Index].Name
                              : std::string("-")},
            {"place", Place},
            {"attempts", Attempts},
            {"outcome", Outcome.Answered ? std::string_view("answered")
                                         : answerOf(Outcome.Error.Kind).Name},
            {"status", Outcome.Status},
            {"bytes_up", Outcome.BytesUp},
            {"bytes_down", Outcome.BytesDown},
            {"us", Elapsed.count()}});
}

asio::awaitable<bool> session::steer(const admitted_request &Request) {
  caller_side Caller(Socket, Buffer, *Parser);
  Caller.ContinueOwed = Parser->get()[http::field::expect] == "100-continue";
  std::optional<forwarded_origin> Origin;
  if (Port == entry_port::Internal)
    Origin = originOf(Parser->get().base());
  relay_outcome Outcome;
  for (unsigned Attempts = 1;; ++Attempts) {
    const placement_request Wanted{&Request, View->Config, Origin,
                                   Attempts - 1};
    const result<dispatch_place> Place =
        co_await State.Dispatcher.place(Wanted);
    if (failed(Place)) {
      if (Attempts == 1)
        Outcome.Error = errorOf(Place);
      logEnd(Request, Outcome, "-", Attempts - 1);
      break;
    }
    Outcome = co_await attempt(Request, Caller, valueOf(Place));
    State.Dispatcher.finished(valueOf(Place), Outcome);
    if (!Outcome.Answered && mayRetry(Request, Caller, Outcome, Attempts)) {
      Caller.rewind();
      continue;
    }
    logEnd(Request, Outcome, valueOf(Place).Name, Attempts);
    break;
  }
  if (Outcome.Answered)
    co_return Outcome.CallerReusable;
  if (Caller.AnswerStarted || Outcome.Error.Kind == error_kind::CallerGone)
    co_return false;
  co_return co_await refuse(Outcome.Error, Request.Id);
}

asio::awaitable<void> session::run() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  while (co_await readHead())
    if (!co_await serveRequest())
      break;
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace

asio::awaitable<void> serveConnection(tcp::socket Socket, thread_state &State,
                                      entry_port Port) {
  const live_count Mark(State.Connections);
  session Session(std::move(Socket), State, Port);
  co_await Session.run();
}

} // namespace magnoliaspread
