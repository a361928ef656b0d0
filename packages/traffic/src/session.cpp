#include "session_p.h"

#include "answer_p.h"
#include "heads_p.h"
#include "relay_p.h"
#include "timers_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/lookup.h>
#include <magnoliaspread/silence.h>
#include <magnoliaspread/traffic.h>

#include <algorithm>
#include <optional>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr retry_settings RetrySettings;
constexpr milliseconds IdleTimeout{60000};
/// Answer timeout on a reused connection, which may be unresponsive, when the
/// request can be retried on a new one.
constexpr milliseconds ReusedAnswerTimeout{2000};
/// Longest answer body that is stored for repeats.
constexpr std::size_t MaxStoredAnswerBytes = 4096;
/// Bytes of a body that count towards its request's fingerprint.
constexpr std::size_t FingerprintBodyBytes = 4096;

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
  asio::awaitable<std::optional<dedup_id>>
  deduplicate(const admitted_request &Request, bool &Keep);
  std::uint64_t contentHash() const;
  void finishDedup(dedup_id Id, const relay_outcome &Outcome);
  asio::awaitable<result<request_fingerprint>>
  fingerprint(const admitted_request &Request, caller_side &Caller);
  asio::awaitable<relay_outcome> runAttempts(const admitted_request &Request,
                                             caller_side &Caller,
                                             std::optional<dedup_id> DedupId);
  void countEnd(const admitted_request &Request, const relay_outcome &Outcome);
  asio::awaitable<relay_outcome> attempt(const admitted_request &Request,
                                         caller_side &Caller,
                                         const dispatch_place &Place);
  asio::awaitable<outbound_ptr> openConnection(const dispatch_place &Place,
                                               const admitted_request &Request,
                                               relay_outcome &Outcome);
  result<admitted_request> admit();
  asio::awaitable<bool> refuse(const error &Error, std::string_view Id);
  asio::awaitable<bool> send(text_response Response);
  bool canKeepAlive() const;
  bool mayRetry(const admitted_request &Request, const caller_side &Caller,
                const relay_outcome &Outcome, unsigned Attempts);
  retry_budget &budgetOf(const admitted_request &Request);
  bool isLimitedLink(std::string_view To) const;
  std::string regionOf(const dispatch_place &Place) const;
  std::string callerRegion() const;
  std::string regionOfPeer(std::string_view Name) const;
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

asio::awaitable<bool> session::readHead() {
  Parser.emplace();
  Parser->header_limit(
      static_cast<std::uint32_t>(State.Settings.MaxHeaderBytes));
  Parser->body_limit(boost::none);
  error_code Failure;
  {
    socket_timeout Timer(Socket, IdleTimeout);
    auto [Problem, Count] =
        co_await http::async_read_header(Socket, Buffer, *Parser, Awaited);
    Failure = Problem;
  }
  if (Failure)
    co_await refuseHead(Failure);
  co_return !Failure;
}

/// Answers a malformed head; a closed connection gets no answer.
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
  co_await linger(Socket);
}

asio::awaitable<bool> session::send(text_response Response) {
  const bool Keep = Response.keep_alive();
  auto [Failure, Count] = co_await http::async_write(Socket, Response, Awaited);
  co_return Keep && !Failure;
}

/// Whether the connection can take another request after this one. An instance
/// that is shutting down closes each after its answer.
bool session::canKeepAlive() const {
  return Parser->is_done() && Parser->keep_alive() && !State.View->Leaving;
}

asio::awaitable<bool> session::refuse(const error &Error, std::string_view Id) {
  const bool Keep = canKeepAlive();
  const bool Sent = co_await send(errorResponse(Error, Id, Keep));
  if (!Keep)
    co_await linger(Socket);
  co_return Sent;
}

asio::awaitable<bool> session::serveLookup() {
  const result<lookup_query> Query = parseLookup(Parser->get().target());
  if (failed(Query))
    co_return co_await refuse(errorOf(Query), {});
  const result<std::string> Answer =
      answerLookup(*View, valueOf(Query), State.Settings.LookupTtl,
                   State.Dedup.issueTicket(State.Clock.now()));
  if (failed(Answer))
    co_return co_await refuse(errorOf(Answer), {});
  co_return co_await send(jsonResponse(valueOf(Answer), canKeepAlive()));
}

/// Serves the current configuration to a peer.
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
  const scoped_count Scope(State.InFlight);
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

/// A pooled or new connection to \p Place; null with the outcome's error when
/// none could be opened.
asio::awaitable<outbound_ptr>
session::openConnection(const dispatch_place &Place,
                        const admitted_request &Request,
                        relay_outcome &Outcome) {
  outbound_ptr Idle = State.Pool.takeIdle(Place.Address, Request.Repeatable);
  if (Idle != nullptr)
    co_return Idle;
  auto Fresh = co_await State.Pool.connect(Place.Address, Request.Deadline);
  if (failed(Fresh)) {
    Outcome.Error = errorOf(Fresh);
    Outcome.ConnectionLost = true;
    co_return nullptr;
  }
  co_return std::move(valueOf(Fresh));
}

/// Region of a peer instance; empty for a target, which is in the own region.
std::string session::regionOf(const dispatch_place &Place) const {
  return Place.Kind == next_hop::Peer ? regionOfPeer(Place.Name)
                                      : std::string();
}

/// Region of the peer instance that forwarded the request; empty when a caller
/// sent it.
std::string session::callerRegion() const {
  if (Port == entry_port::Public)
    return {};
  return regionOfPeer(originOf(Parser->get().base()).Peer);
}

/// Whether the table limits the bytes from the own region to \p To.
bool session::isLimitedLink(std::string_view To) const {
  const auto &Links = View->Config->Table.Links;
  return std::any_of(Links.begin(), Links.end(), [&](const link_row &Row) {
    return Row.From == State.Settings.Region && Row.To == To;
  });
}

std::string session::regionOfPeer(std::string_view Name) const {
  for (const instance_view &Row : View->Peers)
    if (Row.Name == Name)
      return Row.Region;
  return {};
}

asio::awaitable<relay_outcome> session::attempt(const admitted_request &Request,
                                                caller_side &Caller,
                                                const dispatch_place &Place) {
  relay_outcome Outcome;
  outbound_ptr Connection = co_await openConnection(Place, Request, Outcome);
  if (Connection == nullptr)
    co_return Outcome;
  const config_index &Index = *View->Config;
  const request_header &Head = Parser->get().base();
  const steady_time Now = State.Clock.now();
  relay_request Relay;
  Relay.Head =
      Place.Kind == next_hop::Target
          ? targetHead(Head, Request, Index, Now)
          : peerHead(Head, Request, Index, Now,
                     {State.Settings.Name, State.Secret, State.Clock.wall()},
                     Place.CreditGrant);
  Relay.Id = Request.Id;
  Relay.To = Place.Kind;
  Relay.Deadline = Request.Deadline;
  Relay.ClosesCaller = State.View->Leaving;
  Relay.OutlivesCaller = Request.AtMostOnce;
  Relay.MaxCopyBytes = Request.AtMostOnce ? MaxStoredAnswerBytes : 0;
  Relay.ProgressTimeout =
      Index.Table.Services[Request.Service.Index].ProgressTimeout;
  if (Connection->Reused && Request.Repeatable && Caller.canRewind())
    Relay.FirstByteTimeout = ReusedAnswerTimeout;
  std::optional<link_meter> UpMeter;
  std::optional<link_meter> DownMeter;
  if (const std::string To = regionOf(Place); isLimitedLink(To))
    Relay.UpMeter =
        &UpMeter.emplace(State.Tokens, State.Clock, State.Settings.Region, To);
  if (const std::string To = callerRegion(); isLimitedLink(To))
    Relay.DownMeter = &DownMeter.emplace(State.Tokens, State.Clock,
                                         State.Settings.Region, To);
  Outcome = co_await relayExchange(Caller, *Connection, std::move(Relay));
  if (Outcome.OutboundReusable)
    State.Pool.putBack(Place.Address, std::move(Connection));
  else
    State.Pool.drop(Place.Address, std::move(Connection), Outcome.Unresponsive);
  co_return Outcome;
}

bool session::mayRetry(const admitted_request &Request,
                       const caller_side &Caller, const relay_outcome &Outcome,
                       unsigned Attempts) {
  const steady_time Now = State.Clock.now();
  if (Outcome.Error.Kind == error_kind::CallerGone ||
      Outcome.Error.Kind == error_kind::RequestStalled)
    return false;
  attempt_facts Facts;
  Facts.Repeatable = Request.Repeatable;
  Facts.FirstByteSent = Outcome.Sent;
  Facts.ReportedNotRun = answerOf(Outcome.Error.Kind).Run == run_state::NotRun;
  Facts.BodyReplayable = Caller.canRewind();
  Facts.AnswerStarted = Caller.AnswerStarted;
  Facts.Attempts = Attempts;
  Facts.TimeLeft = Request.Deadline - Now;
  return magnoliaspread::mayRetry(Facts, RetrySettings, budgetOf(Request),
                                  Now) == retry_verdict::Retry;
}

retry_budget &session::budgetOf(const admitted_request &Request) {
  const std::string &Service =
      View->Config->Table.Services[Request.Service.Index].Name;
  return State.RetryBudgets
      .try_emplace(Service, RetrySettings, State.Clock.now())
      .first->second;
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

/// Deduplicates an at-most-once request; empty when it must not run here, and
/// then it has been answered.
asio::awaitable<std::optional<dedup_id>>
session::deduplicate(const admitted_request &Request, bool &Keep) {
  const dedup_request Wanted{
      View->Config->Table.Workspaces[Request.Workspace.Index].Name,
      Request.IdempotencyKey, Request.Ticket, contentHash()};
  const dedup_decision Decision = State.Dedup.admit(Wanted, State.Clock.now());
  switch (Decision.Verdict) {
  case dedup_verdict::Run:
    co_return Decision.Id;
  case dedup_verdict::Answered:
    Keep = co_await send(
        storedResponse(*Decision.Answer, Request.Id, canKeepAlive()));
    break;
  case dedup_verdict::TicketNeeded: {
    text_response Response = errorResponse(
        {error_kind::TicketNeeded, "send it again with this X-Ticket", {}},
        Request.Id, canKeepAlive());
    Response.set("X-Ticket", Decision.NewTicket);
    Keep = co_await send(std::move(Response));
    break;
  }
  case dedup_verdict::OtherInstance:
    Keep = co_await refuse({error_kind::OutcomeUnknown,
                            "only " + Decision.Ticket->Instance +
                                " can tell; ask it with the same ticket",
                            {}},
                           Request.Id);
    co_return std::nullopt;
  case dedup_verdict::Refused:
    Keep = co_await refuse(*Decision.Error, Request.Id);
    co_return std::nullopt;
  }
  if (!Keep)
    co_await linger(Socket);
  co_return std::nullopt;
}

/// Distinguishes a repeat from another request with the same idempotency key.
std::uint64_t session::contentHash() const {
  const auto &Head = Parser->get();
  const std::uint64_t Length = Parser->content_length().value_or(0);
  return fingerprintOf(
      {{}, Head.method_string(), Head.target(), std::to_string(Length)});
}

void session::finishDedup(dedup_id Id, const relay_outcome &Outcome) {
  const steady_time Now = State.Clock.now();
  if (Outcome.Ran)
    return State.Dedup.finish(Id,
                              {Outcome.Status, Outcome.AnswerCopy.ContentType,
                               Outcome.AnswerCopy.Body,
                               !Outcome.AnswerCopy.Truncated},
                              Now);
  if (answerOf(Outcome.Error.Kind).Run == run_state::NotRun)
    return State.Dedup.finishNotRun(Id);
  State.Dedup.finishUnknown(Id, Now);
}

asio::awaitable<bool> session::steer(const admitted_request &Request) {
  caller_side Caller(Socket, Buffer, *Parser);
  Caller.ContinuePending = Parser->get()[http::field::expect] == "100-continue";
  std::optional<dedup_id> DedupId;
  if (Request.AtMostOnce && Port == entry_port::Public) {
    bool Keep = false;
    DedupId = co_await deduplicate(Request, Keep);
    if (!DedupId)
      co_return Keep;
  }
  const relay_outcome Outcome = co_await runAttempts(Request, Caller, DedupId);
  if (DedupId)
    finishDedup(*DedupId, Outcome);
  countEnd(Request, Outcome);
  if (Outcome.Answered)
    co_return Outcome.CallerReusable;
  if (Caller.AnswerStarted || Outcome.Error.Kind == error_kind::CallerGone)
    co_return false;
  co_return co_await refuse(Outcome.Error, Request.Id);
}

/// Fingerprint for the quarantine over the head and the start of the body,
/// without a body for which the caller awaits "100 Continue".
asio::awaitable<result<request_fingerprint>>
session::fingerprint(const admitted_request &Request, caller_side &Caller) {
  if (!Caller.ContinuePending && !Parser->is_done()) {
    const service_row &Service =
        View->Config->Table.Services[Request.Service.Index];
    socket_timeout Timer(Socket, Service.ProgressTimeout);
    const error_code Failure = co_await Caller.prefetch(FingerprintBodyBytes);
    if (Failure == asio::error::operation_aborted)
      co_return error{error_kind::RequestStalled, "the body did not come", {}};
    if (Failure)
      co_return error{error_kind::CallerGone, Failure.message(), {}};
  }
  const std::string Workspace =
      Request.Workspace.valid()
          ? View->Config->Table.Workspaces[Request.Workspace.Index].Name
          : std::string();
  const auto &Head = Parser->get();
  co_return fingerprintOf(
      {Workspace, Head.method_string(), Head.target(),
       Caller.bufferedBody().substr(0, FingerprintBodyBytes)});
}

asio::awaitable<relay_outcome>
session::runAttempts(const admitted_request &Request, caller_side &Caller,
                     std::optional<dedup_id> DedupId) {
  relay_outcome Outcome;
  const auto Fingerprint = co_await fingerprint(Request, Caller);
  if (failed(Fingerprint)) {
    Outcome.Error = errorOf(Fingerprint);
    co_return Outcome;
  }
  placement_request Wanted{&Request, View->Config, {}, valueOf(Fingerprint), 0};
  if (Port == entry_port::Internal)
    Wanted.Forwarded = originOf(Parser->get().base());
  for (;; ++Wanted.Attempt) {
    const result<dispatch_place> Place =
        co_await State.Dispatcher.place(Wanted);
    if (failed(Place)) {
      if (Wanted.Attempt == 0)
        Outcome.Error = errorOf(Place);
      logEnd(Request, Outcome, "-", Wanted.Attempt);
      break;
    }
    if (DedupId)
      State.Dedup.sent(*DedupId);
    Outcome = co_await attempt(Request, Caller, valueOf(Place));
    State.Dispatcher.finished(valueOf(Place), Outcome);
    if (Outcome.Answered)
      budgetOf(Request).succeeded(State.Clock.now());
    if (Outcome.Answered ||
        !mayRetry(Request, Caller, Outcome, Wanted.Attempt + 1)) {
      logEnd(Request, Outcome, valueOf(Place).Name, Wanted.Attempt + 1);
      break;
    }
    Caller.rewind();
  }
  co_return Outcome;
}

/// Counts a finished request. A forwarded one is counted only by the instance
/// that the caller connected to.
void session::countEnd(const admitted_request &Request,
                       const relay_outcome &Outcome) {
  if (Port == entry_port::Internal)
    return;
  const config_table &Table = View->Config->Table;
  const std::string Workspace =
      Request.Workspace.valid() ? Table.Workspaces[Request.Workspace.Index].Name
                                : std::string();
  request_result End;
  if (!Outcome.Answered)
    End.Error = Outcome.Error.Kind;
  End.Status = Outcome.Status;
  End.Latency = duration_cast<microseconds>(State.Clock.now() - ArrivedAt);
  // All refusals but RateLimited happen after the token was taken.
  End.WithinRate =
      !Outcome.Answered && Outcome.Error.Kind != error_kind::RateLimited;
  const service_row &Service = Table.Services[Request.Service.Index];
  State.Metrics.count(
      State.Metrics.meterOf(Workspace, Service.Name, Service.LatencyTarget),
      End);
}

asio::awaitable<void> session::run() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  limitSilence(Socket.native_handle(), connection_kind::Caller);
  while (co_await readHead())
    if (!co_await serveRequest())
      break;
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace

asio::awaitable<void> serveConnection(tcp::socket Socket, thread_state &State,
                                      entry_port Port) {
  const scoped_count Scope(State.Connections);
  session Session(std::move(Socket), State, Port);
  co_await Session.run();
}

} // namespace magnoliaspread
