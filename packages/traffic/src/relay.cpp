#include "relay_p.h"

#include <magnoliaspread/httpanswer.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace magnoliaspread {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t ChunkBytes = 32768;
constexpr std::size_t MaxReplayBytes = 65536;
constexpr std::uint32_t MaxAnswerHeaderBytes = 65536;
constexpr std::uint64_t MaxRefusalBytes = 65536;
/// Wait for the answer of a target that stopped reading the request.
constexpr milliseconds EarlyAnswerTimeout{1000};

std::optional<std::uint32_t> numberOf(std::string_view Text) {
  std::uint32_t Count = 0;
  const auto [End, Problem] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Problem != std::errc())
    return std::nullopt;
  return Count;
}

std::optional<milliseconds> retryAfterOf(const http::fields &Head) {
  const auto Count = numberOf(Head["X-Retry-After-Ms"]);
  if (!Count)
    return std::nullopt;
  return milliseconds(*Count);
}

using answer_parser = http::response_parser<http::buffer_body>;

error makeError(error_kind Kind, std::string Detail) {
  return {Kind, std::move(Detail), {}};
}

/// One attempt on one outbound connection.
class exchange {
public:
  exchange(caller_side &Caller, outbound_connection &Outbound,
           relay_request Request)
      : Caller(Caller), Outbound(Outbound), Request(std::move(Request)),
        Watchdog(Caller.Socket, Outbound.Socket) {}

  asio::awaitable<relay_outcome> run();

private:
  asio::awaitable<bool> sendRequest();
  asio::awaitable<bool> sendBody(http::request_serializer<http::buffer_body> &);
  asio::awaitable<bool> readAnswerHead();
  bool isOfAnother();
  bool checkAnswer();
  asio::awaitable<void> readRefusal();
  asio::awaitable<void> sendAnswer();
  asio::awaitable<error_code>
  sendPiece(http::response_serializer<http::buffer_body> &Serializer,
            bool HeadOnly);
  asio::awaitable<bool>
  readAnswerChunk(http::response<http::buffer_body> &Answer);
  asio::awaitable<void> drainAnswer(http::response<http::buffer_body> &Answer);
  void copyBody(std::string_view Bytes);
  asio::awaitable<bool> chargeLink(link_meter *Meter, std::size_t Bytes);
  void extendProgressDeadline();
  void fail(error_kind Kind, std::string Detail);
  void recordFailure(const error_code &Failure);
  bool isNotRunAnswer() const;
  steady_time answerTime() const;

  caller_side &Caller;
  outbound_connection &Outbound;
  relay_request Request;
  watchdog Watchdog;
  std::optional<answer_parser> Answer;
  std::vector<char> AnswerChunk;
  bool RequestEnded = false;
  relay_outcome Outcome;
};

void exchange::extendProgressDeadline() {
  Watchdog.expireAt(std::min(Request.Deadline,
                             steady_clock::now() + Request.ProgressTimeout));
}

void exchange::fail(error_kind Kind, std::string Detail) {
  Outcome.Error = makeError(Kind, std::move(Detail));
}

/// Waits for capacity of the link, if one is crossed; false with the error set
/// when there is none before the deadline.
asio::awaitable<bool> exchange::chargeLink(link_meter *Meter,
                                           std::size_t Bytes) {
  if (Meter == nullptr)
    co_return true;
  const bool Room = co_await Meter->charge(Bytes, Request.Deadline);
  if (Room)
    co_return true;
  fail(Outcome.Sent ? error_kind::TargetTimeout : error_kind::LinkFull,
       "the link between the regions had no room before the deadline");
  co_return false;
}

/// Sets the error of an exchange without an answer.
void exchange::recordFailure(const error_code &Failure) {
  if (Watchdog.callerGone())
    return fail(error_kind::CallerGone, "caller closed its connection");
  if (Watchdog.expired()) {
    Outcome.Unresponsive = true;
    return fail(Outcome.Sent ? error_kind::TargetTimeout
                             : error_kind::DeadlineExpired,
                "no answer before the deadline");
  }
  Outcome.ConnectionLost = true;
  fail(Outcome.Sent ? error_kind::TargetFailed : error_kind::TargetUnreachable,
       Failure.message());
}

asio::awaitable<bool>
exchange::sendBody(http::request_serializer<http::buffer_body> &Serializer) {
  auto &Body =
      const_cast<http::buffer_body::value_type &>(Serializer.get().body());
  for (;;) {
    extendProgressDeadline();
    const caller_side::chunk Chunk = co_await Caller.next();
    if (Watchdog.answerBegan())
      co_return true;
    if (Chunk.Failure) {
      fail(Watchdog.expired() ? error_kind::RequestStalled
                              : error_kind::CallerGone,
           "the request's body broke off");
      co_return false;
    }
    if (!co_await chargeLink(Request.UpMeter, Chunk.Bytes.size()))
      co_return false;
    Body.data = const_cast<char *>(Chunk.Bytes.data());
    Body.size = Chunk.Bytes.size();
    Body.more = !Caller.bodyEnded();
    extendProgressDeadline();
    Outcome.Sent = true;
    auto [Failure, Count] =
        co_await http::async_write(Outbound.Socket, Serializer, Awaited);
    Outcome.BytesUp += Count;
    if (Watchdog.answerBegan())
      co_return true;
    if (Failure && Failure != http::error::need_buffer) {
      recordFailure(Failure);
      co_return false;
    }
    if (Serializer.is_done()) {
      Watchdog.stopWatchingAnswer();
      RequestEnded = true;
      co_return true;
    }
  }
}

asio::awaitable<bool> exchange::sendRequest() {
  http::request<http::buffer_body> Message(std::move(Request.Head));
  http::request_serializer<http::buffer_body> Serializer(Message);
  if (Caller.hasBody()) {
    Watchdog.watchAnswer();
    co_return co_await sendBody(Serializer);
  }
  Message.body().data = nullptr;
  Message.body().size = 0;
  Message.body().more = false;
  Watchdog.expireAt(Request.Deadline);
  Outcome.Sent = true;
  auto [Failure, Count] =
      co_await http::async_write(Outbound.Socket, Serializer, Awaited);
  Outcome.BytesUp += Count;
  if (Failure) {
    recordFailure(Failure);
    co_return false;
  }
  RequestEnded = true;
  co_return true;
}

/// Deadline of the answer's first byte.
steady_time exchange::answerTime() const {
  if (Request.FirstByteTimeout == milliseconds(0))
    return Request.Deadline;
  return std::min(Request.Deadline,
                  steady_clock::now() + Request.FirstByteTimeout);
}

asio::awaitable<bool> exchange::readAnswerHead() {
  if (RequestEnded && !Request.OutlivesCaller)
    Watchdog.watchCaller();
  Watchdog.expireAt(RequestEnded
                        ? answerTime()
                        : std::min(Request.Deadline,
                                   steady_clock::now() + EarlyAnswerTimeout));
  for (int Interim = 0;;) {
    Answer.emplace();
    Answer->header_limit(MaxAnswerHeaderBytes);
    Answer->body_limit(boost::none);
    if (Request.Head.method() == http::verb::head)
      Answer->skip(true);
    auto [Failure, Count] = co_await http::async_read_header(
        Outbound.Socket, Outbound.Buffer, *Answer, Awaited);
    Outcome.BytesDown += Count;
    if (Failure) {
      recordFailure(Failure);
      co_return false;
    }
    const error_code Malformed =
        checkAnswerHead(Answer->get(), Request.Head.method());
    if (Malformed) {
      fail(error_kind::TargetFailed, Malformed.message());
      co_return false;
    }
    if (statusClassOf(Answer->get()) != http::status_class::informational)
      co_return true;
    if (++Interim > MaxInterimAnswers) {
      fail(error_kind::TargetFailed, "interim answers without end");
      co_return false;
    }
  }
}

bool exchange::isNotRunAnswer() const {
  return Answer->get()["X-Run-State"] == nameOf(run_state::NotRun) &&
         (Request.To == next_hop::Peer ||
          Answer->get().result() == http::status::service_unavailable);
}

/// Whether the answer names another request; fails the exchange then.
bool exchange::isOfAnother() {
  const auto [First, Last] = Answer->get().equal_range("X-Request-Id");
  const bool Found = std::any_of(First, Last, [&](const auto &Field) {
    return !Field.value().empty() && Field.value() != Request.Id;
  });
  if (Found)
    fail(error_kind::TargetFailed, "the answer belongs to another request");
  return Found;
}

/// False when the answer has no given length.
bool exchange::checkAnswer() {
  const auto &Head = Answer->get();
  Outcome.Status = Head.result_int();
  Outcome.LoadRunning = numberOf(Head["X-Load-Running"]);
  if (Answer->need_eof()) {
    fail(error_kind::TargetFailed,
         "the answer's length is not given, so its end can't be checked");
    return false;
  }
  return true;
}

/// Reads a refusal to its end so that the connection can be reused.
asio::awaitable<void> exchange::readRefusal() {
  const auto &Head = Answer->get();
  error_kind Kind = error_kind::TargetShed;
  if (Request.To == next_hop::Peer)
    Kind = errorKindOf(std::string_view(Head["X-Error"]))
               .value_or(error_kind::NoCapacity);
  Outcome.Error = {Kind, "refused by the upstream", retryAfterOf(Head)};
  const auto Length = Answer->content_length();
  if (!RequestEnded || !Length || *Length > MaxRefusalBytes)
    co_return;
  AnswerChunk.resize(MaxRefusalBytes);
  while (!Answer->is_done()) {
    Answer->get().body().data = AnswerChunk.data();
    Answer->get().body().size = AnswerChunk.size();
    auto [Failure, Count] = co_await http::async_read_some(
        Outbound.Socket, Outbound.Buffer, *Answer, Awaited);
    if (Failure && Failure != http::error::need_buffer)
      co_return;
  }
  Outcome.OutboundReusable =
      Answer->keep_alive() && Outbound.Buffer.size() == 0;
}

/// Fills \p Message with the next piece of the answer's body.
asio::awaitable<bool>
exchange::readAnswerChunk(http::response<http::buffer_body> &Message) {
  if (Answer->is_done()) {
    Message.body().data = nullptr;
    Message.body().size = 0;
    Message.body().more = false;
    co_return true;
  }
  AnswerChunk.resize(ChunkBytes);
  Answer->get().body().data = AnswerChunk.data();
  Answer->get().body().size = AnswerChunk.size();
  auto [Failure, Count] = co_await http::async_read_some(
      Outbound.Socket, Outbound.Buffer, *Answer, Awaited);
  Outcome.BytesDown += Count;
  if (Failure && Failure != http::error::need_buffer) {
    recordFailure(Failure);
    co_return false;
  }
  Message.body().data = AnswerChunk.data();
  Message.body().size = AnswerChunk.size() - Answer->get().body().size;
  Message.body().more = !Answer->is_done();
  copyBody(std::string_view(AnswerChunk.data(), Message.body().size));
  co_return true;
}

void exchange::copyBody(std::string_view Bytes) {
  if (Request.MaxCopyBytes == 0 || Outcome.AnswerCopy.Truncated)
    return;
  if (Outcome.AnswerCopy.Body.size() + Bytes.size() > Request.MaxCopyBytes) {
    Outcome.AnswerCopy.Truncated = true;
    Outcome.AnswerCopy.Body.clear();
    return;
  }
  Outcome.AnswerCopy.Body += Bytes;
}

/// Reads the rest of an answer whose caller has disconnected.
asio::awaitable<void>
exchange::drainAnswer(http::response<http::buffer_body> &Message) {
  while (!Answer->is_done()) {
    extendProgressDeadline();
    if (!co_await readAnswerChunk(Message))
      co_return;
  }
  Outcome.Ran = true;
}

void removeHopFields(http::fields &Head) {
  for (const char *Name : {"Connection", "Keep-Alive", "Proxy-Connection",
                           "Proxy-Authenticate", "Upgrade", "Trailer"})
    Head.erase(Name);
}

asio::awaitable<void> exchange::sendAnswer() {
  http::response<http::buffer_body> Message(
      http::response_header<>(Answer->get().base()));
  removeHopFields(Message);
  const bool HeadOnly = hasNoBody(Message, Request.Head.method());
  // The serializer would end a body in chunks.
  if (HeadOnly)
    Message.erase(http::field::transfer_encoding);
  Message.set("X-Request-Id", Request.Id);
  Outcome.AnswerCopy.ContentType = Message[http::field::content_type];
  const bool KeepCaller =
      Caller.Parser.keep_alive() && RequestEnded && !Request.ClosesCaller;
  Message.keep_alive(KeepCaller);
  http::response_serializer<http::buffer_body> Serializer(Message);
  while (!Serializer.is_done()) {
    extendProgressDeadline();
    if (!co_await readAnswerChunk(Message))
      co_return;
    if (!co_await chargeLink(Request.DownMeter, Message.body().size))
      co_return;
    extendProgressDeadline();
    Caller.AnswerStarted = true;
    const error_code Failure = co_await sendPiece(Serializer, HeadOnly);
    if (Failure) {
      fail(error_kind::CallerGone, Failure.message());
      if (Request.OutlivesCaller)
        co_await drainAnswer(Message);
      co_return;
    }
    if (HeadOnly)
      break;
  }
  Outcome.Answered = true;
  Outcome.Ran = true;
  Outcome.CallerReusable = KeepCaller;
  Outcome.OutboundReusable =
      RequestEnded && Answer->keep_alive() && Outbound.Buffer.size() == 0;
}

/// Sends the serializer's message, or only its head.
asio::awaitable<error_code>
exchange::sendPiece(http::response_serializer<http::buffer_body> &Serializer,
                    bool HeadOnly) {
  if (HeadOnly) {
    Serializer.split(true);
    auto [Failure, Count] =
        co_await http::async_write_header(Caller.Socket, Serializer, Awaited);
    co_return Failure;
  }
  auto [Failure, Count] =
      co_await http::async_write(Caller.Socket, Serializer, Awaited);
  if (Failure == http::error::need_buffer)
    co_return error_code();
  co_return Failure;
}

asio::awaitable<relay_outcome> exchange::run() {
  const http::verb Method = Request.Head.method();
  if (!co_await sendRequest())
    co_return Outcome;
  Request.Head.method(Method);
  if (!co_await readAnswerHead() || isOfAnother())
    co_return Outcome;
  if (isNotRunAnswer()) {
    co_await readRefusal();
    co_return Outcome;
  }
  if (!checkAnswer())
    co_return Outcome;
  co_await sendAnswer();
  co_return Outcome;
}

} // namespace

void caller_side::bufferForReplay(std::span<const char> Bytes) {
  if (Overflowed)
    return;
  if (Replay.size() + Bytes.size() > MaxReplayBytes) {
    Overflowed = true;
    Replay.clear();
    Replay.shrink_to_fit();
    return;
  }
  Replay.insert(Replay.end(), Bytes.begin(), Bytes.end());
  Position = Replay.size();
}

asio::awaitable<error_code> caller_side::sendContinue() {
  ContinuePending = false;
  constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
  auto [Failure, Count] =
      co_await asio::async_write(Socket, asio::buffer(Line), Awaited);
  co_return Failure;
}

asio::awaitable<caller_side::chunk> caller_side::next() {
  if (!Overflowed && Position < Replay.size()) {
    const std::span<const char> Buffered(Replay);
    const std::span<const char> Rest = Buffered.subspan(Position);
    Position = Replay.size();
    co_return chunk{Rest, {}};
  }
  if (Parser.is_done())
    co_return chunk{};
  if (ContinuePending) {
    const error_code Failure = co_await sendContinue();
    if (Failure)
      co_return chunk{{}, Failure};
  }
  Chunk.resize(ChunkBytes);
  Parser.get().body().data = Chunk.data();
  Parser.get().body().size = Chunk.size();
  auto [Failure, Count] =
      co_await http::async_read_some(Socket, Buffer, Parser, Awaited);
  if (Failure && Failure != http::error::need_buffer)
    co_return chunk{{}, Failure};
  const std::span<const char> Read(Chunk.data(),
                                   Chunk.size() - Parser.get().body().size);
  bufferForReplay(Read);
  co_return chunk{Read, {}};
}

asio::awaitable<error_code> caller_side::prefetch(std::size_t Bytes) {
  while (!Parser.is_done() && Replay.size() < Bytes) {
    const chunk Chunk = co_await next();
    if (Chunk.Failure)
      co_return Chunk.Failure;
  }
  rewind();
  co_return error_code();
}

asio::awaitable<relay_outcome> relayExchange(caller_side &Caller,
                                             outbound_connection &Outbound,
                                             relay_request Request) {
  exchange Exchange(Caller, Outbound, std::move(Request));
  co_return co_await Exchange.run();
}

} // namespace magnoliaspread
