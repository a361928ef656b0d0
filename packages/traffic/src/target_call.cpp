#include "target_call_p.h"

#include "watchdog_p.h"

#include <magnoliaspread/httpanswer.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t MaxAnswerHeaderBytes = 65536;
constexpr std::uint64_t MaxAnswerBytes = 32u << 20;
/// Most that is read of a body at once.
constexpr std::size_t MaxPieceBytes = 65536;
/// Answers to other requests that are skipped before the connection is closed:
/// a target may repeat an answer, and rarely more than once.
constexpr int MaxMismatchedAnswers = 3;
/// Wait for the answer of a target that stopped reading the request.
constexpr milliseconds EarlyAnswerTimeout{1000};

using answer_parser = http::response_parser<http::string_body>;

class exchange {
public:
  exchange(const gate_dialect &Dialect, caller_watch &Caller,
           outbound_connection &Outbound, const target_call &Call)
      : Dialect(Dialect), Outbound(Outbound), Call(Call), Caller(Caller),
        Watchdog(Outbound.Socket) {}

  asio::awaitable<call_result> run();

private:
  asio::awaitable<bool> send();
  asio::awaitable<bool> readAnswer();
  bool acceptHead(const answer_parser &Parser);
  asio::awaitable<bool> readWhole(answer_parser &Parser);
  asio::awaitable<error_code> readHead(answer_parser &Parser);
  asio::awaitable<error_code> readBody(answer_parser &Parser);
  bool makeRoom(answer_parser &Parser);
  asio::awaitable<bool> awaitHead(answer_parser &Parser);
  bool keepWaiting();
  void recordFailure(const error_code &Failure);
  void classifyAnswer(answer_parser &Parser);

  const gate_dialect &Dialect;
  outbound_connection &Outbound;
  const target_call &Call;
  caller_watch &Caller;
  watchdog Watchdog;
  bool Sent = false;
  /// The write got the connection's error, which is reported only once: reads
  /// then seem to come to an orderly end.
  bool BrokenOff = false;
  call_result Result;
};

/// True if \p Failure is of what was received, false if of the connection.
bool isOfContent(const error_code &Failure) {
  return Failure.category() ==
             http::make_error_code(http::error::bad_status).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

void exchange::recordFailure(const error_code &Failure) {
  Result.Detail = Failure.message();
  Result.Heard = isOfContent(Failure);
  if (Watchdog.callerGone())
    Result.End = call_end::CallerGone;
  else if (!Watchdog.expired())
    Result.End = call_end::Broken;
  else if (steady_clock::now() >= Call.Deadline)
    Result.End = call_end::DeadlinePassed;
  else
    Result.End = call_end::Unresponsive;
}

asio::awaitable<bool> exchange::send() {
  Watchdog.expireAt(Call.Deadline);
  const bool HasBody = !Call.Request->body().empty();
  if (HasBody)
    Watchdog.watchAnswer();
  auto [Failure, Count] =
      co_await http::async_write(Outbound.Socket, *Call.Request, Awaited);
  if (HasBody)
    Watchdog.stopWatchingAnswer();
  Sent = !Failure;
  // A reset behind an orderly end is a broken pipe.
  BrokenOff = Failure && Failure != asio::error::operation_aborted &&
              Failure != asio::error::broken_pipe;
  if (!Failure || Watchdog.answerBegan())
    co_return true;
  recordFailure(Failure);
  co_return false;
}

asio::awaitable<error_code> exchange::readHead(answer_parser &Parser) {
  auto [Failure, Count] = co_await http::async_read_header(
      Outbound.Socket, Outbound.Buffer, Parser, Awaited);
  co_return Failure;
}

/// Makes room for the next piece of a body within its memory budget, old and
/// new buffer together. A body that grows by itself is copied to one of twice
/// its size, which the budget learns of only then.
bool exchange::makeRoom(answer_parser &Parser) {
  std::string &Body = Parser.get().body();
  const std::size_t Capacity = Body.capacity();
  std::size_t Needed = MaxPieceBytes;
  if (const auto Left = Parser.content_length_remaining())
    Needed = static_cast<std::size_t>(std::min<std::uint64_t>(Needed, *Left));
  if (Capacity < MaxPieceBytes || Capacity - Body.size() >= Needed)
    return true;
  const std::size_t Larger = 2 * Capacity;
  if (!Result.BodyMemory->resize(Capacity + Larger))
    return false;
  Body.reserve(Larger);
  return Result.BodyMemory->resize(Body.capacity());
}

/// Reads the body in pieces and accounts for its memory as it grows, since a
/// target may send without end.
asio::awaitable<error_code> exchange::readBody(answer_parser &Parser) {
  error_code Failure;
  while (!Failure && !Parser.is_done()) {
    if (Watchdog.callerGone())
      co_return asio::error::operation_aborted;
    if (!makeRoom(Parser))
      co_return http::make_error_code(http::error::body_limit);
    std::tie(Failure, std::ignore) = co_await http::async_read_some(
        Outbound.Socket, Outbound.Buffer, Parser, Awaited);
    if (!Result.BodyMemory->resize(Parser.get().body().capacity()))
      co_return http::make_error_code(http::error::body_limit);
  }
  co_return Failure;
}

/// Reads the head; after HeadTimeout it waits on unless the target is
/// abandoned.
asio::awaitable<bool> exchange::awaitHead(answer_parser &Parser) {
  for (;;) {
    error_code Failure = asio::error::operation_aborted;
    // It may have left between two operations.
    if (!Watchdog.callerGone())
      Failure = co_await readHead(Parser);
    if (!Failure)
      co_return true;
    const bool Again = keepWaiting();
    if (!Again) {
      recordFailure(Failure);
      co_return false;
    }
  }
}

/// Whether to keep waiting for an unresponsive target.
bool exchange::keepWaiting() {
  if (Watchdog.callerGone() || !Watchdog.expired() || !Sent ||
      steady_clock::now() >= Call.Deadline ||
      (Call.MayAbandon && Call.MayAbandon()))
    return false;
  Watchdog.restart(Call.Deadline);
  return true;
}

void exchange::classifyAnswer(answer_parser &Parser) {
  Result.End = Result.Head.Misdirected ? call_end::Misdirected
               : Result.Head.NotRun    ? call_end::NotRun
                                       : call_end::Answered;
  const bool Success =
      statusClassOf(Parser.get()) == http::status_class::successful;
  if (Result.End == call_end::Answered && Success && !Result.Head.Signed) {
    Result.End = call_end::Broken;
    Result.Detail = "a success that no target vouches for";
  }
  Result.ConnectionReusable =
      Sent && Result.Head.Named && !Parser.get().need_eof() &&
      Parser.get().keep_alive() && Outbound.Buffer.size() == 0 &&
      Result.End != call_end::Broken && Result.End != call_end::Misdirected;
  Result.Answer = Parser.release();
}

/// Reads the head's fields unless it is malformed, in which case they mean
/// nothing.
bool exchange::acceptHead(const answer_parser &Parser) {
  const error_code Malformed =
      checkAnswerHead(Parser.get(), Call.Request->method());
  if (Malformed) {
    Result.Heard = true;
    Result.Detail = Malformed.message();
    return false;
  }
  const answer_head Head = Dialect.parseAnswerHead(Parser.get(), Call.Id);
  if (Head.Ambiguous) {
    Result.Heard = true;
    Result.Detail = "an answer that names several requests";
    return false;
  }
  Result.Head = Head;
  if (!Head.Misdirected)
    Result.Leaving = Result.Leaving || Head.Leaving;
  return true;
}

/// Reads the body to its end.
asio::awaitable<bool> exchange::readWhole(answer_parser &Parser) {
  std::optional<gate_answer_head> Head;
  if (Parser.chunked())
    Head = Parser.get().base();
  const error_code Failure = co_await readBody(Parser);
  if (Failure) {
    recordFailure(Failure);
    co_return false;
  }
  // The parser adds the fields of the trailer.
  if (Head)
    Parser.get().base() = std::move(*Head);
  if (BrokenOff && Parser.need_eof()) {
    Result.Detail = "the connection broke off before the answer's end";
    co_return false;
  }
  co_return true;
}

asio::awaitable<bool> exchange::readAnswer() {
  steady_time HeadBy = Call.Deadline;
  if (Call.HeadTimeout > milliseconds(0))
    HeadBy = std::min(HeadBy, steady_clock::now() + Call.HeadTimeout);
  if (!Sent)
    HeadBy = std::min(HeadBy, steady_clock::now() + EarlyAnswerTimeout);
  int Interim = 0;
  for (int Mismatched = 0; Mismatched <= MaxMismatchedAnswers;) {
    answer_parser Parser;
    Parser.header_limit(MaxAnswerHeaderBytes);
    Parser.body_limit(MaxAnswerBytes);
    if (Call.Request->method() == http::verb::head)
      Parser.skip(true);
    Watchdog.expireAt(HeadBy);
    const bool HeadCame = co_await awaitHead(Parser);
    if (!HeadCame || !acceptHead(Parser))
      co_return false;
    Watchdog.expireAt(Call.Deadline);
    Result.BodyMemory.emplace(*Call.Memory);
    if (statusClassOf(Parser.get()) == http::status_class::informational) {
      if (++Interim > MaxInterimAnswers) {
        Result.Detail = "interim answers without end";
        co_return false;
      }
      continue;
    }
    const bool Whole = co_await readWhole(Parser);
    if (!Whole)
      co_return false;
    if (!Result.Head.WrongRequestId) {
      classifyAnswer(Parser);
      co_return true;
    }
    ++Mismatched;
  }
  Result.Detail = "answers to other requests only";
  co_return false;
}

asio::awaitable<call_result> exchange::run() {
  const caller_subscription WhileRunning(Caller, [this] {
    if (Call.CancelWithCaller)
      Watchdog.callerLeft();
  });
  bool Succeeded = co_await send();
  if (Succeeded)
    Succeeded = co_await readAnswer();
  co_return std::move(Result);
}

} // namespace

asio::awaitable<call_result> callTarget(const gate_dialect &Dialect,
                                        caller_watch &Caller,
                                        outbound_connection &Outbound,
                                        target_call Call) {
  exchange Exchange(Dialect, Caller, Outbound, Call);
  co_return co_await Exchange.run();
}

} // namespace magnoliaspread
