#include "target_call_p.h"

#include "watchdog_p.h"

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t MaxAnswerHeaderBytes = 65536;
constexpr std::uint64_t MaxAnswerBytes = 32u << 20;
/// Answers to other requests that are skipped before the connection is given
/// up: a target may repeat an answer, and rarely more than once.
constexpr int MaxStrayAnswers = 3;
/// Interim answers before the final one; targets send one at most.
constexpr int MaxInterimAnswers = 8;
/// How long a target that answers before it has read the request may take.
constexpr milliseconds LastWordTimeout{1000};

using answer_parser = http::response_parser<http::string_body>;

class exchange {
public:
  exchange(const gate_dialect &Dialect, call_side Caller, upstream &Up,
           const target_call &Call)
      : Dialect(Dialect), Up(Up), Call(Call), Ahead(Caller.Ahead),
        Dog(Caller.Socket, Up.Socket) {}

  asio::awaitable<call_result> run();

private:
  asio::awaitable<bool> send();
  asio::awaitable<bool> readAnswer();
  asio::awaitable<error_code> readHead(answer_parser &Parser);
  asio::awaitable<error_code> readRest(answer_parser &Parser);
  asio::awaitable<bool> awaitHead(answer_parser &Parser);
  bool staysOn();
  void explain(const error_code &Failure);
  void judge(answer_parser &Parser);

  const gate_dialect &Dialect;
  upstream &Up;
  const target_call &Call;
  beast::flat_buffer &Ahead;
  watchdog Dog;
  bool Sent = false;
  call_result Result;
};

void exchange::explain(const error_code &Failure) {
  Result.Detail = Failure.message();
  if (Dog.callerGone())
    Result.End = call_end::CallerGone;
  else if (!Dog.expired())
    Result.End = call_end::Broken;
  else if (steady_clock::now() >= Call.Deadline)
    Result.End = call_end::DeadlinePassed;
  else
    Result.End = call_end::Silent;
}

asio::awaitable<bool> exchange::send() {
  Dog.expireAt(Call.Deadline);
  const bool HasBody = !Call.Request->body().empty();
  if (HasBody)
    Dog.watchAnswer();
  auto [Failure, Count] =
      co_await http::async_write(Up.Socket, *Call.Request, Awaited);
  if (HasBody)
    Dog.stopWatchingAnswer();
  Sent = !Failure;
  if (!Failure || Dog.answerBegan())
    co_return true;
  explain(Failure);
  co_return false;
}

asio::awaitable<error_code> exchange::readHead(answer_parser &Parser) {
  auto [Failure, Count] =
      co_await http::async_read_header(Up.Socket, Up.Buffer, Parser, Awaited);
  co_return Failure;
}

/// Reads the body in pieces, so that its memory is counted while it grows: a
/// target may send bytes without end.
asio::awaitable<error_code> exchange::readRest(answer_parser &Parser) {
  error_code Failure;
  while (!Failure && !Parser.is_done()) {
    std::tie(Failure, std::ignore) =
        co_await http::async_read_some(Up.Socket, Up.Buffer, Parser, Awaited);
    if (!Result.Held->resize(Parser.get().body().capacity()))
      co_return http::make_error_code(http::error::body_limit);
  }
  co_return Failure;
}

/// Reads the head, and goes on when a silent target is not left.
asio::awaitable<bool> exchange::awaitHead(answer_parser &Parser) {
  for (;;) {
    const error_code Failure = co_await readHead(Parser);
    if (!Failure)
      co_return true;
    const bool Again = staysOn();
    if (!Again) {
      explain(Failure);
      co_return false;
    }
  }
}

/// Whether to go on waiting for a silent target.
bool exchange::staysOn() {
  if (Dog.callerGone() || !Dog.expired() || !Sent ||
      steady_clock::now() >= Call.Deadline ||
      (Call.MayLeave && Call.MayLeave()))
    return false;
  Dog.restart(Call.Deadline);
  if (Call.EndsWithCaller)
    Dog.watchCaller(Ahead, MostAheadBytes);
  return true;
}

void exchange::judge(answer_parser &Parser) {
  Result.End = Result.Head.Misdirected ? call_end::Misdirected
               : Result.Head.NotRun    ? call_end::NotRun
                                       : call_end::Answered;
  const bool Success = http::to_status_class(Parser.get().result()) ==
                       http::status_class::successful;
  if (Result.End == call_end::Answered && Success && !Result.Head.Signed) {
    Result.End = call_end::Broken;
    Result.Detail = "a success that no target vouches for";
  }
  Result.ConnectionReusable =
      Sent && Result.Head.Named && !Parser.get().need_eof() &&
      Parser.get().keep_alive() && Up.Buffer.size() == 0 &&
      Result.End != call_end::Broken && Result.End != call_end::Misdirected;
  Result.Answer = Parser.release();
}

asio::awaitable<bool> exchange::readAnswer() {
  steady_time HeadBy = Call.Deadline;
  if (Call.HeadTimeout > milliseconds(0))
    HeadBy = std::min(HeadBy, steady_clock::now() + Call.HeadTimeout);
  if (!Sent)
    HeadBy = std::min(HeadBy, steady_clock::now() + LastWordTimeout);
  int Interim = 0;
  for (int Strays = 0; Strays <= MaxStrayAnswers;) {
    answer_parser Parser;
    Parser.header_limit(MaxAnswerHeaderBytes);
    Parser.body_limit(MaxAnswerBytes);
    if (Call.Request->method() == http::verb::head)
      Parser.skip(true);
    Dog.expireAt(HeadBy);
    const bool HeadCame = co_await awaitHead(Parser);
    if (!HeadCame)
      co_return false;
    Dog.expireAt(Call.Deadline);
    Result.Held.emplace(*Call.Memory);
    Result.Head = Dialect.judge(Parser.get(), Call.Id);
    if (!Result.Head.Misdirected)
      Result.Leaving = Result.Leaving || Result.Head.Leaving;
    if (http::to_status_class(Parser.get().result()) ==
        http::status_class::informational) {
      if (++Interim > MaxInterimAnswers) {
        Result.Detail = "interim answers without end";
        co_return false;
      }
      continue;
    }
    const error_code Failure = co_await readRest(Parser);
    if (Failure) {
      explain(Failure);
      co_return false;
    }
    if (!Result.Head.OtherRequest) {
      judge(Parser);
      co_return true;
    }
    ++Strays;
  }
  Result.Detail = "answers to other requests only";
  co_return false;
}

asio::awaitable<call_result> exchange::run() {
  if (Call.EndsWithCaller)
    Dog.watchCaller(Ahead, MostAheadBytes);
  bool Going = co_await send();
  if (Going)
    Going = co_await readAnswer();
  co_return std::move(Result);
}

} // namespace

asio::awaitable<call_result> callTarget(const gate_dialect &Dialect,
                                        call_side Caller, upstream &Up,
                                        target_call Call) {
  exchange Exchange(Dialect, Caller, Up, Call);
  co_return co_await Exchange.run();
}

} // namespace magnoliaspread
