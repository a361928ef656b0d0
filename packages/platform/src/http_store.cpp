#include "envelope_p.h"
#include "http_exchange_p.h"
#include "lenientjson_p.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

namespace magnoliaspread {

namespace asio = boost::asio;

using asio::awaitable;

namespace {

/// Objects whose latest write ids are cached.
constexpr std::size_t MaxKnownWrites = 4096;

/// HTTP status codes.
constexpr unsigned Ok = 200;
constexpr unsigned NotModified = 304;
constexpr unsigned Missing = 404;
constexpr unsigned Conflicting = 409;
constexpr unsigned Gone = 410;

/// Sent without an answer: the call may have taken effect.
bool isAnswerLost(const exchange_reply &Reply) {
  return Reply.Outcome == exchange_outcome::NoAnswer ||
         Reply.Outcome == exchange_outcome::ClosedWhileIdle ||
         Reply.Outcome == exchange_outcome::OlderEra;
}

bool answeredWith(const exchange_reply &Reply, unsigned Status) {
  return Reply.Outcome == exchange_outcome::Answered && Reply.Status == Status;
}

error unavailableError(std::string Detail) {
  return {error_kind::PlatformUnavailable, std::move(Detail), {}};
}

/// PlatformUnavailable without an answer, otherwise BadRequest.
error unexpectedReplyError(const exchange_reply &Reply) {
  if (Reply.Outcome != exchange_outcome::Answered)
    return unavailableError("no answer from the platform");
  return {error_kind::BadRequest,
          "the platform answered " + std::to_string(Reply.Status),
          {}};
}

error lostBaseError(const std::string &Name) {
  return {error_kind::OutcomeUnknown,
          "the platform lost the version that a write of " + Name + " replaces",
          {}};
}

/// An object as read, without its envelope.
struct read_object {
  stored_object Object;
  std::string WriteId;
  std::vector<std::string> PriorWriteIds;
};

read_object unwrap(wire_object Object) {
  envelope Envelope = unwrapValue(Object.Value);
  return {{std::move(Object.Name), Object.Version, std::move(Envelope.Value)},
          std::move(Envelope.WriteId),
          std::move(Envelope.PriorWriteIds)};
}

/// Ids of the writes that led to one version of an object.
struct known_write {
  object_version Version = NoObject;
  std::string WriteId;
  std::vector<std::string> PriorWriteIds;
};

/// A write whose outcome is not known yet.
struct pending_write {
  std::string WriteId;
  std::optional<object_version> IfVersion;
  /// The write that created IfVersion, or the last version seen when IfVersion
  /// is empty; empty when not known.
  std::string BaseWriteId;
  /// The era in which IfVersion was read, and in which it names that version.
  store_era Era = 0;
};

enum class write_effect : std::uint8_t {
  Applied,
  Superseded,
  NotApplied,
  Conflict,
  Unknown,
};

bool contains(const std::vector<std::string> &Ids, const std::string &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

/// Determines from the current object whether \p Write was applied. Only
/// conditional writes record earlier write ids, so a lineage that contains the
/// base but not \p Write proves that it was not applied and never will be.
write_effect effectOf(const pending_write &Write, const read_object &Current) {
  if (Current.WriteId == Write.WriteId)
    return write_effect::Applied;
  if (contains(Current.PriorWriteIds, Write.WriteId))
    return write_effect::Superseded;
  if (Write.IfVersion && Current.Object.Version == *Write.IfVersion)
    return write_effect::NotApplied;
  if (Write.BaseWriteId.empty())
    return write_effect::Unknown;
  if (!Write.IfVersion && Current.WriteId == Write.BaseWriteId)
    return write_effect::NotApplied;
  if (Write.IfVersion && contains(Current.PriorWriteIds, Write.BaseWriteId))
    return write_effect::Conflict;
  return write_effect::Unknown;
}

write_effect effectWhenMissing(const pending_write &Write) {
  return Write.IfVersion == NoObject ? write_effect::NotApplied
                                     : write_effect::Unknown;
}

} // namespace

template <class T>
using operation_function = std::function<awaitable<result<T>>(steady_time)>;

class http_store::operations
    : public std::enable_shared_from_this<http_store::operations> {
public:
  operations(asio::io_context &Io, const http_store_settings &Settings,
             const clock &Clock, std::uint64_t Seed)
      : Io(Io), Settings(Settings), Clock(Clock), Random(Seed),
        Exchange(Io, Settings, Clock, Random()) {}

  template <class T>
  void start(call_kind Kind, completion<T> Done, operation_function<T> Run);
  void stop() noexcept;

  awaitable<result<stored_object>> get(get_request Request,
                                       steady_time Deadline);
  awaitable<result<put_answer>> put(put_request Request, steady_time Deadline);
  awaitable<result<std::monostate>> remove(remove_request Request,
                                           steady_time Deadline);
  awaitable<result<object_list>> list(list_request Request,
                                      steady_time Deadline);
  awaitable<result<watch_answer>> watch(watch_request Request,
                                        steady_time Deadline);
  awaitable<result<changes_answer>> changes(changes_request Request,
                                            steady_time Deadline);

  const http_exchange &exchange() const { return Exchange; }

private:
  struct waiting_operation {
    explicit waiting_operation(asio::io_context &Io) : Timer(Io) {}
    asio::steady_timer Timer;
    bool Admitted = false;
  };

  /// Outcome of reading back a pending write.
  struct read_back {
    /// Empty when there was no answer in time.
    std::optional<write_effect> Effect;
    object_version Version = NoObject;
  };

  template <class T>
  static awaitable<void> run(std::shared_ptr<operations> Self, call_kind Kind,
                             completion<T> Done, operation_function<T> Run);
  awaitable<bool> admit(call_kind Kind, steady_time Deadline);
  awaitable<bool> waitInQueue(steady_time Deadline);
  void finish(call_kind Kind);

  std::optional<read_object> objectIn(const exchange_reply &Reply,
                                      const std::string &Name) const;
  awaitable<exchange_reply> read(call_kind Kind, store_call Call,
                                 steady_time Deadline);
  awaitable<read_back> readBack(const std::string &Name,
                                const pending_write &Write,
                                steady_time Deadline);
  pending_write beginWrite(const put_request &Request);
  std::string envelopeFor(const put_request &Request,
                          const pending_write &Write) const;
  result<put_answer> recordWritten(const put_request &Request,
                                   const pending_write &Write,
                                   const exchange_reply &Reply);
  std::optional<result<put_answer>> readBackResult(const put_request &Request,
                                                   const pending_write &Write,
                                                   const read_back &Found);
  void cacheWrite(const read_object &Read);
  void cacheWrite(const std::string &Name, known_write Known);
  std::vector<std::string> lineageOf(const std::string &Name,
                                     object_version Version) const;
  std::string newWriteId();
  void forgetOlderEra();
  /// The version that \p Write replaces is of an era that is over.
  bool baseLost(const pending_write &Write) const;

  asio::io_context &Io;
  http_store_settings Settings;
  const clock &Clock;
  std::mt19937_64 Random;
  http_exchange Exchange;
  std::list<waiting_operation> Queue;
  std::unordered_map<std::string, known_write> KnownWrites;
  store_era KnownEra = 0;
};

template <class T>
void http_store::operations::start(call_kind Kind, completion<T> Done,
                                   operation_function<T> Run) {
  asio::post(Io, [Self = shared_from_this(), Kind, Done = std::move(Done),
                  Run = std::move(Run)]() mutable {
    asio::io_context &Io = Self->Io;
    asio::co_spawn(
        Io, run<T>(std::move(Self), Kind, std::move(Done), std::move(Run)),
        asio::detached);
  });
}

template <class T>
awaitable<void> http_store::operations::run(std::shared_ptr<operations> Self,
                                            call_kind Kind, completion<T> Done,
                                            operation_function<T> Run) {
  const steady_time Deadline =
      Self->Clock.now() + Self->Settings.OperationTimeout;
  result<T> Result =
      error{error_kind::QueueFull, "too many calls to the platform", {}};
  const bool Admitted = co_await Self->admit(Kind, Deadline);
  if (Admitted) {
    Result = co_await Run(Deadline);
    Self->finish(Kind);
  }
  if (!Self->Exchange.stopped())
    Done(std::move(Result));
}

void http_store::operations::stop() noexcept {
  try {
    Exchange.stop();
    for (waiting_operation &Waiting : Queue)
      Waiting.Timer.cancel();
  } catch (...) {
    // Operations that could not be cancelled end at their own timeouts.
  }
}

awaitable<bool> http_store::operations::waitInQueue(steady_time Deadline) {
  const auto Waiting = Queue.emplace(Queue.end(), Io);
  Exchange.Counters.QueuedCalls = Queue.size();
  Waiting->Timer.expires_after(Deadline - Clock.now());
  boost::system::error_code Ignored;
  co_await Waiting->Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  const bool Admitted = Waiting->Admitted;
  Queue.erase(Waiting);
  Exchange.Counters.QueuedCalls = Queue.size();
  co_return Admitted;
}

awaitable<bool> http_store::operations::admit(call_kind Kind,
                                              steady_time Deadline) {
  platform_counters &Counters = Exchange.Counters;
  if (Kind == call_kind::Watch &&
      Counters.WaitingWatches < Settings.MaxWatches) {
    ++Counters.WaitingWatches;
    co_return true;
  }
  if (Kind != call_kind::Watch && Counters.ActiveCalls < Settings.MaxCalls) {
    ++Counters.ActiveCalls;
    co_return true;
  }
  if (Kind != call_kind::Watch && Queue.size() < Settings.MaxQueuedCalls &&
      co_await waitInQueue(Deadline))
    co_return true;
  ++Counters.of(Kind).Refused;
  co_return false;
}

/// Passes the slot of a finished call to the first one in the queue.
void http_store::operations::finish(call_kind Kind) {
  if (Kind == call_kind::Watch) {
    --Exchange.Counters.WaitingWatches;
    return;
  }
  for (waiting_operation &Waiting : Queue) {
    if (Waiting.Admitted)
      continue;
    Waiting.Admitted = true;
    Waiting.Timer.cancel();
    return;
  }
  --Exchange.Counters.ActiveCalls;
}

std::string http_store::operations::newWriteId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id;
  for (std::uint64_t Bits = Random(); Id.size() < 16; Bits >>= 4)
    Id += Digits[Bits & 15];
  return Id;
}

/// Versions of another era name other writes.
void http_store::operations::forgetOlderEra() {
  if (KnownEra == Exchange.era())
    return;
  KnownEra = Exchange.era();
  KnownWrites.clear();
}

bool http_store::operations::baseLost(const pending_write &Write) const {
  return Write.IfVersion && Write.IfVersion != NoObject &&
         Write.Era < Exchange.era();
}

void http_store::operations::cacheWrite(const std::string &Name,
                                        known_write Known) {
  forgetOlderEra();
  if (KnownWrites.size() >= MaxKnownWrites && !KnownWrites.contains(Name))
    KnownWrites.clear();
  known_write &Row = KnownWrites[Name];
  if (Row.Version <= Known.Version)
    Row = std::move(Known);
}

void http_store::operations::cacheWrite(const read_object &Read) {
  if (Read.WriteId.empty())
    KnownWrites.erase(Read.Object.Name);
  else
    cacheWrite(Read.Object.Name,
               {Read.Object.Version, Read.WriteId, Read.PriorWriteIds});
}

std::vector<std::string>
http_store::operations::lineageOf(const std::string &Name,
                                  object_version Version) const {
  std::vector<std::string> Ids;
  const auto Known = KnownWrites.find(Name);
  if (Known == KnownWrites.end() || Known->second.Version != Version)
    return Ids;
  Ids.push_back(Known->second.WriteId);
  for (const std::string &Id : Known->second.PriorWriteIds)
    if (Ids.size() < MaxPriorWrites)
      Ids.push_back(Id);
  return Ids;
}

std::optional<read_object>
http_store::operations::objectIn(const exchange_reply &Reply,
                                 const std::string &Name) const {
  std::optional<wire_object> Object =
      Settings.Protocol->readObject(parseLenient(Reply.Body), prefixOf(Name));
  if (!Object)
    return std::nullopt;
  return unwrap(std::move(*Object));
}

awaitable<exchange_reply> http_store::operations::read(call_kind Kind,
                                                       store_call Call,
                                                       steady_time Deadline) {
  const exchange_request Request{Kind, std::move(Call), Settings.CallTimeout};
  exchange_reply Reply;
  do
    Reply = co_await Exchange.call(Request, Deadline);
  while (Reply.Outcome == exchange_outcome::NotSent || isAnswerLost(Reply));
  if (answeredWith(Reply, Ok))
    ++Exchange.Counters.of(Kind).Succeeded;
  if (answeredWith(Reply, Missing))
    ++Exchange.Counters.of(Kind).NotFound;
  co_return Reply;
}

awaitable<result<stored_object>>
http_store::operations::get(get_request Request, steady_time Deadline) {
  const exchange_reply Reply = co_await read(
      call_kind::Get, Settings.Protocol->get(Request.Name), Deadline);
  if (answeredWith(Reply, Missing))
    co_return error{error_kind::NotFound, Request.Name, {}};
  if (!answeredWith(Reply, Ok))
    co_return unexpectedReplyError(Reply);
  std::optional<read_object> Read = objectIn(Reply, Request.Name);
  if (!Read)
    co_return unavailableError("malformed object");
  cacheWrite(*Read);
  Read->Object.Era = Reply.Era;
  co_return std::move(Read->Object);
}

awaitable<result<object_list>>
http_store::operations::list(list_request Request, steady_time Deadline) {
  object_list List;
  std::string After;
  for (bool More = true; More;) {
    const exchange_reply Reply =
        co_await read(call_kind::List,
                      Settings.Protocol->list(Request.Prefix, After), Deadline);
    if (!answeredWith(Reply, Ok))
      co_return unexpectedReplyError(Reply);
    std::optional<wire_page> Page =
        Settings.Protocol->readPage(parseLenient(Reply.Body), Request.Prefix);
    if (!Page)
      co_return unavailableError("malformed list");
    // The pages of two eras don't belong together.
    if (!After.empty() && Reply.Era != List.Era) {
      List = {};
      After.clear();
      continue;
    }
    List.Era = Reply.Era;
    if (After.empty())
      List.Revision = Page->Revision;
    More = Page->More && !Page->Objects.empty();
    for (wire_object &Row : Page->Objects)
      List.Objects.push_back(unwrap(std::move(Row)).Object);
    if (More)
      After = List.Objects.back().Name.substr(Request.Prefix.size());
  }
  co_return List;
}

awaitable<result<changes_answer>>
http_store::operations::changes(changes_request Request, steady_time Deadline) {
  const exchange_request Call{call_kind::Changes,
                              Settings.Protocol->changes(Request),
                              Request.Wait + Settings.WatchSlack};
  const exchange_reply Reply = co_await Exchange.call(Call, Deadline);
  changes_answer Answer;
  Answer.Era = Exchange.era();
  // Events since a revision of another era are of other changes.
  Answer.HistoryGone = answeredWith(Reply, Gone) ||
                       Reply.Outcome == exchange_outcome::OlderEra ||
                       (answeredWith(Reply, Ok) && Reply.Era != Request.Era);
  if (Answer.HistoryGone)
    co_return Answer;
  if (!answeredWith(Reply, Ok))
    co_return unexpectedReplyError(Reply);
  std::optional<wire_changes> Read =
      Settings.Protocol->readChanges(parseLenient(Reply.Body), Request.Prefix);
  if (!Read)
    co_return unavailableError("malformed changes");
  ++Exchange.Counters.of(call_kind::Changes).Succeeded;
  Answer.Revision = Read->Revision;
  for (wire_change &Row : Read->Changes)
    Answer.Changes.push_back(
        {unwrap(std::move(Row.Object)).Object, Row.Removed});
  co_return Answer;
}

awaitable<result<watch_answer>>
http_store::operations::watch(watch_request Request, steady_time Deadline) {
  const exchange_request Call{call_kind::Watch,
                              Settings.Protocol->watch(Request),
                              Request.Wait + Settings.WatchSlack};
  const exchange_reply Reply = co_await Exchange.call(Call, Deadline);
  watch_answer Answer;
  Answer.Object = {Request.Name, Request.Version, {}};
  if (answeredWith(Reply, NotModified) || answeredWith(Reply, Missing) ||
      answeredWith(Reply, Ok))
    ++Exchange.Counters.of(call_kind::Watch).Succeeded;
  if (answeredWith(Reply, NotModified))
    co_return Answer;
  Answer.Changed = true;
  if (answeredWith(Reply, Missing)) {
    Answer.Object.Version = NoObject;
    co_return Answer;
  }
  if (!answeredWith(Reply, Ok))
    co_return unexpectedReplyError(Reply);
  std::optional<read_object> Read = objectIn(Reply, Request.Name);
  if (!Read)
    co_return unavailableError("malformed object");
  cacheWrite(*Read);
  Answer.Object = std::move(Read->Object);
  co_return Answer;
}

pending_write http_store::operations::beginWrite(const put_request &Request) {
  forgetOlderEra();
  pending_write Write{newWriteId(),
                      Request.IfVersion,
                      {},
                      Request.IfEra.value_or(Exchange.era())};
  const auto Known = KnownWrites.find(Request.Name);
  if (Known == KnownWrites.end())
    return Write;
  if (!Request.IfVersion || Known->second.Version == *Request.IfVersion)
    Write.BaseWriteId = Known->second.WriteId;
  return Write;
}

std::string
http_store::operations::envelopeFor(const put_request &Request,
                                    const pending_write &Write) const {
  envelope Envelope{Write.WriteId, {}, Request.Value};
  if (Request.IfVersion)
    Envelope.PriorWriteIds = lineageOf(Request.Name, *Request.IfVersion);
  return wrapValue(Envelope);
}

awaitable<http_store::operations::read_back> http_store::operations::readBack(
    const std::string &Name, const pending_write &Write, steady_time Deadline) {
  const exchange_reply Reply =
      co_await read(call_kind::Get, Settings.Protocol->get(Name), Deadline);
  read_back Found;
  if (answeredWith(Reply, Missing))
    Found.Effect = effectWhenMissing(Write);
  if (!answeredWith(Reply, Ok))
    co_return Found;
  const std::optional<read_object> Read = objectIn(Reply, Name);
  if (!Read)
    co_return Found;
  Found.Effect = effectOf(Write, *Read);
  Found.Version = Read->Object.Version;
  cacheWrite(*Read);
  co_return Found;
}

std::optional<result<put_answer>>
http_store::operations::readBackResult(const put_request &Request,
                                       const pending_write &Write,
                                       const read_back &Found) {
  if (!Found.Effect)
    return unavailableError("a write got no answer and could not be read back");
  ++Exchange.Counters.WritesReadBack;
  switch (*Found.Effect) {
  case write_effect::Applied:
    return put_answer{Found.Version, false};
  case write_effect::Superseded:
    return put_answer{Found.Version, true};
  case write_effect::NotApplied:
    return std::nullopt;
  case write_effect::Conflict:
    return error{error_kind::VersionConflict, Request.Name, {}};
  case write_effect::Unknown:
    break;
  }
  return error{error_kind::OutcomeUnknown,
               "write " + Write.WriteId + " of " + Request.Name +
                   " got no answer and was replaced or never applied",
               {}};
}

result<put_answer>
http_store::operations::recordWritten(const put_request &Request,
                                      const pending_write &Write,
                                      const exchange_reply &Reply) {
  ++Exchange.Counters.of(call_kind::Put).Succeeded;
  const object_version Version =
      Settings.Protocol->readVersion(parseLenient(Reply.Body));
  std::vector<std::string> Prior;
  if (Request.IfVersion)
    Prior = lineageOf(Request.Name, *Request.IfVersion);
  cacheWrite(Request.Name, {Version, Write.WriteId, std::move(Prior)});
  return put_answer{Version, false};
}

awaitable<result<put_answer>>
http_store::operations::put(put_request Request, steady_time Deadline) {
  const pending_write Write = beginWrite(Request);
  const std::string Value = envelopeFor(Request, Write);
  exchange_request Call{call_kind::Put, Settings.Protocol->put(Request, Value),
                        Settings.CallTimeout};
  if (Value.size() > MaxObjectBytes)
    co_return error{error_kind::BadRequest, "value too large", {}};
  bool MayHaveRun = false;
  while (true) {
    if (!MayHaveRun && baseLost(Write))
      co_return error{error_kind::VersionConflict, Request.Name, {}};
    const exchange_reply Reply = co_await Exchange.call(Call, Deadline);
    // It may have replaced another version to which the new era gave the number
    // of the base.
    if (answeredWith(Reply, Ok) && baseLost(Write))
      co_return lostBaseError(Request.Name);
    if (answeredWith(Reply, Ok))
      co_return recordWritten(Request, Write, Reply);
    const bool Conflicts = answeredWith(Reply, Conflicting);
    if (Conflicts)
      ++Exchange.Counters.of(call_kind::Put).Conflicts;
    if (Conflicts && !MayHaveRun)
      co_return error{error_kind::VersionConflict, Request.Name, {}};
    if (Reply.Outcome == exchange_outcome::NotSent)
      continue;
    if (answeredWith(Reply, Missing) && !Request.IfVersion)
      if (auto Create = Settings.Protocol->create(Request, Value)) {
        Call.Call = std::move(*Create);
        continue;
      }
    if (!isAnswerLost(Reply) && !Conflicts)
      co_return unexpectedReplyError(Reply);
    MayHaveRun = true;
    const read_back Found = co_await readBack(Request.Name, Write, Deadline);
    if (std::optional<result<put_answer>> Final =
            readBackResult(Request, Write, Found))
      co_return std::move(*Final);
    if (baseLost(Write))
      co_return lostBaseError(Request.Name);
  }
}

awaitable<result<std::monostate>>
http_store::operations::remove(remove_request Request, steady_time Deadline) {
  const exchange_request Call{call_kind::Remove,
                              Settings.Protocol->remove(Request),
                              Settings.CallTimeout};
  call_counters &Counters = Exchange.Counters.of(call_kind::Remove);
  bool MayHaveRun = false;
  while (true) {
    const exchange_reply Reply = co_await Exchange.call(Call, Deadline);
    const bool IsMissing = answeredWith(Reply, Missing);
    if (answeredWith(Reply, Ok) || (IsMissing && MayHaveRun)) {
      ++Counters.Succeeded;
      KnownWrites.erase(Request.Name);
      co_return std::monostate();
    }
    if (IsMissing) {
      ++Counters.NotFound;
      co_return error{error_kind::NotFound, Request.Name, {}};
    }
    if (answeredWith(Reply, Conflicting)) {
      ++Counters.Conflicts;
      co_return error{MayHaveRun ? error_kind::OutcomeUnknown
                                 : error_kind::VersionConflict,
                      Request.Name,
                      {}};
    }
    if (isAnswerLost(Reply))
      MayHaveRun = true;
    else if (Reply.Outcome != exchange_outcome::NotSent)
      co_return unexpectedReplyError(Reply);
  }
}

http_store::http_store(asio::io_context &Io,
                       const http_store_settings &Settings, const clock &Clock,
                       std::uint64_t Seed)
    : Operations(std::make_shared<operations>(Io, Settings, Clock, Seed)) {}

http_store::~http_store() { Operations->stop(); }

void http_store::get(get_request Request, completion<stored_object> Done) {
  Operations->start<stored_object>(
      call_kind::Get, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->get(Request, Deadline);
      });
}

void http_store::put(put_request Request, completion<put_answer> Done) {
  Operations->start<put_answer>(
      call_kind::Put, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->put(Request, Deadline);
      });
}

void http_store::remove(remove_request Request,
                        completion<std::monostate> Done) {
  Operations->start<std::monostate>(
      call_kind::Remove, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->remove(Request, Deadline);
      });
}

void http_store::list(list_request Request, completion<object_list> Done) {
  Operations->start<object_list>(
      call_kind::List, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->list(Request, Deadline);
      });
}

void http_store::watch(watch_request Request, completion<watch_answer> Done) {
  Operations->start<watch_answer>(
      call_kind::Watch, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->watch(Request, Deadline);
      });
}

void http_store::changes(changes_request Request,
                         completion<changes_answer> Done) {
  Operations->start<changes_answer>(
      call_kind::Changes, std::move(Done),
      [Self = Operations.get(), Request](steady_time Deadline) {
        return Self->changes(Request, Deadline);
      });
}

store_era http_store::era() const { return Operations->exchange().era(); }

bool http_store::reachable() const {
  return Operations->exchange().reachable();
}

std::optional<wall_time> http_store::platformTimeAtLeast() const {
  return Operations->exchange().serverTimeAtLeast();
}

const platform_counters &http_store::counters() const {
  return Operations->exchange().Counters;
}

} // namespace magnoliaspread
