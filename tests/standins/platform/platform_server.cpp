#include "platform_server.h"

#include <magnoliaspread/object_table.h>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <functional>
#include <list>
#include <random>
#include <utility>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
namespace urls = boost::urls;

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr std::string_view ObjectsPath = "/objects";

/// Larger than the largest object, so that a larger value is answered with 413.
constexpr std::uint64_t MaxBodyBytes = 8u << 20;

constexpr milliseconds MaxWait{60000};
constexpr std::chrono::seconds IdleTimeout{120};

response answer(http::status Status, std::string Body = "{}") {
  response Answer(Status, 11);
  Answer.set(http::field::content_type, "application/json");
  Answer.body() = std::move(Body);
  return Answer;
}

response versionAnswer(http::status Status, object_version Version) {
  return answer(Status, json::serialize(json::value{{"version", Version}}));
}

std::string objectJson(const stored_object &Object) {
  return "{\"name\":" + json::serialize(json::value(Object.Name)) +
         ",\"version\":" + std::to_string(Object.Version) +
         ",\"value\":" + Object.Value + "}";
}

template <class Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Parsed = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Text.data(), End, Parsed);
  if (Error != std::errc() || Last != End)
    return std::nullopt;
  return Parsed;
}

std::optional<object_version> ifMatchOf(const request &Request) {
  const auto Field = Request[http::field::if_match];
  return parseNumber<object_version>({Field.data(), Field.size()});
}

bool isJson(const std::string &Text) {
  error_code Error;
  json::parse(Text, Error);
  return !Error;
}

struct object_path {
  /// Empty for a list.
  std::string Name;
  std::string Prefix;
  std::optional<object_version> WatchVersion;
  milliseconds Wait{0};
};

std::optional<std::string> parameter(const urls::url_view &Url,
                                     std::string_view Name) {
  const auto Found = Url.params().find(Name);
  if (Found == Url.params().end())
    return std::nullopt;
  return (*Found).value;
}

std::optional<object_path> parseObjectPath(std::string_view Target) {
  const auto Url = urls::parse_origin_form(Target);
  if (!Url || !Url->path().starts_with(ObjectsPath))
    return std::nullopt;
  object_path Path;
  Path.Name = Url->path().substr(ObjectsPath.size());
  if (!Path.Name.empty())
    Path.Name.erase(0, 1);
  Path.Prefix = parameter(*Url, "prefix").value_or("");
  if (const auto Version = parameter(*Url, "watch"))
    Path.WatchVersion = parseNumber<object_version>(*Version);
  if (const auto Wait = parameter(*Url, "wait_ms"))
    Path.Wait = milliseconds(parseNumber<int>(*Wait).value_or(0));
  Path.Wait = std::clamp(Path.Wait, milliseconds(0), MaxWait);
  return Path;
}

bool flagIn(const json::object &Fields, const char *Name) {
  const json::value *Field = Fields.if_contains(Name);
  return Field != nullptr && Field->is_bool() && Field->get_bool();
}

double numberIn(const json::object &Fields, const char *Name) {
  const json::value *Field = Fields.if_contains(Name);
  if (Field == nullptr || !Field->is_number())
    return 0;
  return Field->to_number<double>();
}

milliseconds timeIn(const json::object &Fields, const char *Name) {
  return milliseconds(static_cast<std::int64_t>(numberIn(Fields, Name)));
}

std::optional<platform_faults> parseFaults(const std::string &Text) {
  error_code Error;
  const json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const json::object &Fields = Parsed.get_object();
  platform_faults Faults;
  Faults.Down = flagIn(Fields, "down");
  Faults.Delay = timeIn(Fields, "delay_ms");
  Faults.LoseAnswers = numberIn(Fields, "lose_answers");
  Faults.ListLag = timeIn(Fields, "list_lag_ms");
  Faults.RefuseConnections = flagIn(Fields, "refuse_connections");
  Faults.SilentWatches = flagIn(Fields, "silent_watches");
  Faults.Seed = static_cast<std::uint64_t>(numberIn(Fields, "seed"));
  return Faults;
}

std::string statsJson(const platform_server_stats &Stats) {
  return json::serialize(
      json::value{{"get", Stats.Gets},
                  {"put", Stats.Puts},
                  {"remove", Stats.Removes},
                  {"list", Stats.Lists},
                  {"watch", Stats.Watches},
                  {"waiting_watches", Stats.WaitingWatches},
                  {"most_waiting_watches", Stats.MostWaitingWatches},
                  {"answers_lost", Stats.AnswersLost},
                  {"connections", Stats.Connections}});
}

} // namespace

class platform_server::state
    : public std::enable_shared_from_this<platform_server::state> {
public:
  state(asio::io_context &Io, std::uint16_t Port)
      : Io(Io), Port(Port), Acceptor(Io), Control(Io) {}

  void open();
  void stop() noexcept;
  status load(std::string_view Text);
  void setFaults(const platform_faults &NewFaults);

  std::uint16_t port() const { return Port; }
  std::uint16_t controlPort() const { return Control.local_endpoint().port(); }

  platform_server_stats Stats;

private:
  struct session {
    explicit session(tcp::socket Socket) : Stream(std::move(Socket)) {}
    beast::tcp_stream Stream;
    bool IsControl = false;
  };
  struct waiting_watch {
    waiting_watch(asio::io_context &Io, std::string Name)
        : Name(std::move(Name)), Timer(Io) {}
    std::string Name;
    asio::steady_timer Timer;
  };
  using session_iterator = std::list<session>::iterator;

  void listen(tcp::acceptor &On, std::uint16_t OnPort);
  static awaitable<void> acceptAll(std::shared_ptr<state> Self,
                                   tcp::acceptor &From, bool IsControl);
  static awaitable<void> serve(std::shared_ptr<state> Self,
                               session_iterator Session);
  awaitable<std::optional<response>> handle(const request &Request);
  awaitable<std::optional<response>> handleObject(const request &Request,
                                                  const object_path &Path);
  awaitable<response> watch(const object_path &Path);
  response get(const std::string &Name);
  response list(const std::string &Prefix);
  response put(const request &Request, const std::string &Name);
  response remove(const request &Request, const std::string &Name);
  response setFaultsFrom(const request &Request);
  awaitable<void> sleep(milliseconds Time);
  bool losesAnswer(const request &Request, const response &Answer);
  void closeSessions();
  void wakeWatches(const std::string &Name);
  void refreshListCopies();

  asio::io_context &Io;
  std::uint16_t Port;
  tcp::acceptor Acceptor;
  tcp::acceptor Control;
  bool Stopped = false;
  std::list<session> Sessions;
  std::list<waiting_watch> Watches;
  object_table Objects;
  /// Under ListLag, the snapshot that lists return and the one after it.
  object_table ListCopy;
  object_table NextListCopy;
  std::chrono::steady_clock::time_point ListCopiedAt;
  platform_faults Faults;
  std::mt19937_64 Random{1};
};

void platform_server::state::listen(tcp::acceptor &On, std::uint16_t OnPort) {
  const tcp::endpoint Endpoint(asio::ip::address_v4::loopback(), OnPort);
  On.open(Endpoint.protocol());
  On.set_option(tcp::acceptor::reuse_address(true));
  On.bind(Endpoint);
  On.listen();
}

void platform_server::state::open() {
  listen(Acceptor, Port);
  Port = Acceptor.local_endpoint().port();
  listen(Control, 0);
  asio::co_spawn(Io, acceptAll(shared_from_this(), Acceptor, false),
                 asio::detached);
  asio::co_spawn(Io, acceptAll(shared_from_this(), Control, true),
                 asio::detached);
}

void platform_server::state::stop() noexcept {
  Stopped = true;
  error_code Ignored;
  Acceptor.close(Ignored);
  Control.close(Ignored);
  try {
    for (session &Session : Sessions)
      Session.Stream.close();
    for (waiting_watch &Watch : Watches)
      Watch.Timer.cancel();
  } catch (...) {
    // Operations that were not cancelled end with the io_context.
  }
}

void platform_server::state::closeSessions() {
  for (session &Session : Sessions)
    if (!Session.IsControl)
      Session.Stream.close();
}

status platform_server::state::load(std::string_view Text) {
  error_code Error;
  const json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return error{error_kind::BadRequest, "not a JSON object", {}};
  for (const auto &Field : Parsed.get_object())
    Objects.put({std::string(Field.key()), json::serialize(Field.value()), {}});
  return std::monostate();
}

void platform_server::state::setFaults(const platform_faults &NewFaults) {
  const bool WasRefusing = Faults.RefuseConnections;
  Faults = NewFaults;
  Random.seed(Faults.Seed);
  ListCopy = NextListCopy = Objects;
  ListCopiedAt = std::chrono::steady_clock::now();
  for (waiting_watch &Watch : Watches)
    if (Faults.Down)
      Watch.Timer.cancel();
  if (Faults.RefuseConnections) {
    error_code Ignored;
    Acceptor.close(Ignored);
    closeSessions();
  } else if (WasRefusing) {
    listen(Acceptor, Port);
    asio::co_spawn(Io, acceptAll(shared_from_this(), Acceptor, false),
                   asio::detached);
  }
}

awaitable<void> platform_server::state::acceptAll(std::shared_ptr<state> Self,
                                                  tcp::acceptor &From,
                                                  bool IsControl) {
  while (!Self->Stopped) {
    error_code Error;
    tcp::socket Socket =
        co_await From.async_accept(redirect_error(use_awaitable, Error));
    if (Error)
      co_return;
    Socket.set_option(tcp::no_delay(true), Error);
    ++Self->Stats.Connections;
    const auto Session =
        Self->Sessions.emplace(Self->Sessions.end(), std::move(Socket));
    Session->IsControl = IsControl;
    asio::co_spawn(Self->Io, serve(Self, Session), asio::detached);
  }
}

awaitable<void> platform_server::state::serve(std::shared_ptr<state> Self,
                                              session_iterator Session) {
  beast::flat_buffer Buffer;
  beast::tcp_stream &Stream = Session->Stream;
  error_code Error;
  bool KeepAlive = true;
  while (KeepAlive && !Self->Stopped) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    Stream.expires_after(IdleTimeout);
    co_await http::async_read(Stream, Buffer, Parser,
                              redirect_error(use_awaitable, Error));
    if (Error)
      break;
    const request Request = Parser.release();
    Stream.expires_never();
    std::optional<response> Answer = co_await Self->handle(Request);
    if (!Answer)
      break;
    const auto Now = std::chrono::system_clock::now().time_since_epoch();
    const auto Time = std::chrono::duration_cast<milliseconds>(Now);
    Answer->set("X-Time-Ms", std::to_string(Time.count()));
    Answer->keep_alive(Request.keep_alive());
    Answer->prepare_payload();
    Stream.expires_after(IdleTimeout);
    co_await http::async_write(Stream, *Answer,
                               redirect_error(use_awaitable, Error));
    KeepAlive = !Error && Answer->keep_alive();
  }
  Self->Sessions.erase(Session);
}

awaitable<std::optional<response>>
platform_server::state::handle(const request &Request) {
  const std::string Target(Request.target());
  if (Target == "/faults" && Request.method() == http::verb::post)
    co_return setFaultsFrom(Request);
  if (Target == "/stats")
    co_return answer(http::status::ok, statsJson(Stats));
  const std::optional<object_path> Path = parseObjectPath(Target);
  if (!Path)
    co_return answer(http::status::not_found);
  if (Faults.Down)
    co_return answer(http::status::service_unavailable);
  std::optional<response> Answer = co_await handleObject(Request, *Path);
  if (Faults.Delay > milliseconds(0))
    co_await sleep(Faults.Delay);
  if (Answer && losesAnswer(Request, *Answer))
    co_return std::nullopt;
  co_return Answer;
}

response platform_server::state::setFaultsFrom(const request &Request) {
  const std::optional<platform_faults> Parsed = parseFaults(Request.body());
  if (!Parsed)
    return answer(http::status::bad_request);
  setFaults(*Parsed);
  return answer(http::status::ok);
}

bool platform_server::state::losesAnswer(const request &Request,
                                         const response &Answer) {
  if (Request.method() == http::verb::get ||
      Answer.result() != http::status::ok)
    return false;
  if (std::uniform_real_distribution<>(0, 1)(Random) >= Faults.LoseAnswers)
    return false;
  ++Stats.AnswersLost;
  return true;
}

awaitable<std::optional<response>>
platform_server::state::handleObject(const request &Request,
                                     const object_path &Path) {
  switch (Request.method()) {
  case http::verb::get:
    if (Path.Name.empty())
      co_return list(Path.Prefix);
    if (Path.WatchVersion)
      co_return co_await watch(Path);
    co_return get(Path.Name);
  case http::verb::put:
    co_return put(Request, Path.Name);
  case http::verb::delete_:
    co_return remove(Request, Path.Name);
  default:
    co_return answer(http::status::method_not_allowed);
  }
}

response platform_server::state::get(const std::string &Name) {
  ++Stats.Gets;
  const std::optional<stored_object> Found = Objects.find(Name);
  if (!Found)
    return answer(http::status::not_found);
  return answer(http::status::ok, objectJson(*Found));
}

response platform_server::state::list(const std::string &Prefix) {
  ++Stats.Lists;
  refreshListCopies();
  const object_table &Source =
      Faults.ListLag > milliseconds(0) ? ListCopy : Objects;
  std::string Body = "[";
  for (const stored_object &Object : Source.list(Prefix)) {
    if (Body.size() > 1)
      Body += ',';
    Body += objectJson(Object);
  }
  return answer(http::status::ok, Body + "]");
}

response platform_server::state::put(const request &Request,
                                     const std::string &Name) {
  ++Stats.Puts;
  if (Request.body().size() > MaxObjectBytes)
    return answer(http::status::payload_too_large);
  if (Name.empty() || !isJson(Request.body()))
    return answer(http::status::bad_request);
  refreshListCopies();
  const result<object_version> Written =
      Objects.put({Name, Request.body(), ifMatchOf(Request)});
  if (failed(Written))
    return versionAnswer(http::status::conflict, Objects.versionOf(Name));
  wakeWatches(Name);
  return versionAnswer(http::status::ok, valueOf(Written));
}

response platform_server::state::remove(const request &Request,
                                        const std::string &Name) {
  ++Stats.Removes;
  refreshListCopies();
  const status Removed = Objects.remove({Name, ifMatchOf(Request)});
  if (!failed(Removed)) {
    wakeWatches(Name);
    return answer(http::status::ok);
  }
  if (errorOf(Removed).Kind == error_kind::NotFound)
    return answer(http::status::not_found);
  return versionAnswer(http::status::conflict, Objects.versionOf(Name));
}

/// Keeps the snapshot that lists return between one and two ListLag old.
void platform_server::state::refreshListCopies() {
  if (Faults.ListLag <= milliseconds(0))
    return;
  const auto Now = std::chrono::steady_clock::now();
  const auto Age = Now - ListCopiedAt;
  if (Age < Faults.ListLag)
    return;
  ListCopy = Age < 2 * Faults.ListLag ? NextListCopy : Objects;
  NextListCopy = Objects;
  ListCopiedAt = Now;
}

void platform_server::state::wakeWatches(const std::string &Name) {
  for (waiting_watch &Watch : Watches)
    if (Watch.Name == Name && !Faults.SilentWatches)
      Watch.Timer.cancel();
}

awaitable<void> platform_server::state::sleep(milliseconds Time) {
  asio::steady_timer Timer(Io, Time);
  error_code Ignored;
  co_await Timer.async_wait(redirect_error(use_awaitable, Ignored));
}

awaitable<response> platform_server::state::watch(const object_path &Path) {
  ++Stats.Watches;
  const auto EndsAt = std::chrono::steady_clock::now() + Path.Wait;
  ++Stats.WaitingWatches;
  Stats.MostWaitingWatches =
      std::max(Stats.MostWaitingWatches, Stats.WaitingWatches);
  while (!Stopped && !Faults.Down &&
         (Faults.SilentWatches ||
          (Objects.versionOf(Path.Name) == *Path.WatchVersion &&
           std::chrono::steady_clock::now() < EndsAt))) {
    const auto Watch = Watches.emplace(Watches.end(), Io, Path.Name);
    Watch->Timer.expires_at(EndsAt);
    if (Faults.SilentWatches)
      Watch->Timer.expires_after(MaxWait);
    error_code Ignored;
    co_await Watch->Timer.async_wait(redirect_error(use_awaitable, Ignored));
    Watches.erase(Watch);
  }
  --Stats.WaitingWatches;
  if (Faults.Down)
    co_return answer(http::status::service_unavailable);
  if (Objects.versionOf(Path.Name) == *Path.WatchVersion)
    co_return answer(http::status::not_modified, "");
  const std::optional<stored_object> Found = Objects.find(Path.Name);
  if (!Found)
    co_return answer(http::status::not_found);
  co_return answer(http::status::ok, objectJson(*Found));
}

platform_server::platform_server(asio::io_context &Io, std::uint16_t Port)
    : State(std::make_shared<state>(Io, Port)) {
  State->open();
}

platform_server::~platform_server() { State->stop(); }

std::uint16_t platform_server::port() const { return State->port(); }

std::uint16_t platform_server::controlPort() const {
  return State->controlPort();
}

status platform_server::load(std::string_view Text) {
  return State->load(Text);
}

void platform_server::setFaults(const platform_faults &Faults) {
  State->setFaults(Faults);
}

const platform_server_stats &platform_server::stats() const {
  return State->Stats;
}

} // namespace magnoliaspread
