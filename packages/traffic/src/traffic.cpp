#include <magnoliaspread/traffic.h>

#include "net_p.h"
#include "pool_p.h"
#include "session_p.h"
#include "sockets_p.h"
#include "steerer_p.h"

#include <magnoliaspread/log.h>

#include <atomic>
#include <random>
#include <thread>
#include <vector>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

mac_function ticketMac(const fleet_secret &Secret) {
  return [Secret](std::string_view Text) { return macOf(Secret, Text); };
}

std::string randomPrefix() {
  std::random_device Device;
  char Text[24];
  std::snprintf(Text, sizeof(Text), "%08x%08x-", Device(), Device());
  return Text;
}

} // namespace

struct traffic_threads::state {
  const instance_settings &Settings;
  const clock &Clock;
  fleet_secret Secret;
  token_pool &Tokens;
  instance_metrics &Metrics;
  report_handler OnReport;
  std::vector<std::unique_ptr<thread>> Threads;
};

struct traffic_threads::thread {
  thread(std::uint32_t Number, const traffic_threads::state &Shared)
      : Number(Number), OnReport(Shared.OnReport), Pool(Context, Shared.Clock),
        Dispatcher(Context, Shared.Clock, Shared.Settings, Shared.Tokens,
                   randomNumber()),
        Dedup(Shared.Settings.Name, randomNumber(), dedup_settings{},
              ticketMac(Shared.Secret), Shared.Clock.now(),
              Shared.Clock.wall()),
        State{Context,
              Shared.Clock,
              Shared.Settings,
              Shared.Secret,
              Pool,
              Shared.Tokens,
              Dispatcher,
              Dedup,
              Shared.Metrics,
              {},
              std::make_shared<traffic_view>(),
              randomPrefix()},
        Public(Context), Internal(Context) {}

  void accept(tcp::acceptor &Acceptor, entry_port Port);
  asio::awaitable<void> sendReports();
  void run();
  /// Closes idle connections to draining targets.
  void dropDrained();

  std::uint32_t Number;
  const report_handler &OnReport;
  asio::io_context Context{1};
  connection_pool Pool;
  steerer Dispatcher;
  dedup_registry Dedup;
  thread_state State;
  tcp::acceptor Public;
  tcp::acceptor Internal;
  std::thread Thread;
};

asio::awaitable<void> traffic_threads::thread::sendReports() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(State.Settings.ControlTick);
    co_await Timer.async_wait(Awaited);
    Dispatcher.tick();
    thread_report Report;
    Report.Thread = Number;
    Report.InFlight = State.InFlight;
    Report.Connections = State.Connections;
    Dispatcher.fillReport(Report);
    OnReport(std::move(Report));
  }
}

void traffic_threads::thread::dropDrained() {
  if (State.View->Config == nullptr)
    return;
  for (const target_row &Row : State.View->Config->Table.Targets)
    if (Row.State == drain_state::Draining)
      Pool.dropIdle({Row.Address, Row.Port});
}

void traffic_threads::thread::accept(tcp::acceptor &Acceptor, entry_port Port) {
  asio::co_spawn(Context,
                 acceptAll(Context, Acceptor,
                           [this, Port](tcp::socket Socket) {
                             return serveConnection(std::move(Socket), State,
                                                    Port);
                           }),
                 asio::detached);
}

void traffic_threads::thread::run() {
  accept(Public, entry_port::Public);
  accept(Internal, entry_port::Internal);
  asio::co_spawn(Context, Pool.sweepAll(), asio::detached);
  asio::co_spawn(Context, sendReports(), asio::detached);
  Thread = std::thread([this] { Context.run(); });
}

traffic_threads::traffic_threads(const instance_settings &Settings,
                                 const clock &Clock, fleet_secret Secret,
                                 token_pool &Tokens, instance_metrics &Metrics,
                                 report_handler OnReport)
    : State(std::make_unique<state>(state{Settings,
                                          Clock,
                                          std::move(Secret),
                                          Tokens,
                                          Metrics,
                                          std::move(OnReport),
                                          {}})) {}

traffic_threads::~traffic_threads() { stop(); }

status traffic_threads::start() {
  for (std::uint32_t I = 0; I < State->Settings.TrafficThreads; ++I) {
    auto Thread = std::make_unique<thread>(I, *State);
    status Public =
        openPort(Thread->Public, State->Settings.Public, port_use::Shared);
    if (failed(Public))
      return Public;
    status Internal =
        openPort(Thread->Internal, State->Settings.Internal, port_use::Shared);
    if (failed(Internal))
      return Internal;
    State->Threads.push_back(std::move(Thread));
  }
  for (const auto &Thread : State->Threads)
    Thread->run();
  return {};
}

void traffic_threads::publish(const traffic_view_ptr &View) {
  for (const auto &Thread : State->Threads)
    asio::post(Thread->Context, [Thread = Thread.get(), View] {
      Thread->State.View = View;
      Thread->Dispatcher.publish(View);
      Thread->dropDrained();
    });
}

void traffic_threads::deliver(const peer_credit_message &Message) {
  for (const auto &Thread : State->Threads)
    asio::post(Thread->Context, [Thread = Thread.get(), Message] {
      Thread->Dispatcher.receive(Message);
    });
}

void traffic_threads::deliver(const quarantine_update &Update) {
  for (const auto &Thread : State->Threads)
    asio::post(Thread->Context, [Thread = Thread.get(), Update] {
      Thread->Dispatcher.receive(Update);
    });
}

void traffic_threads::stopAccepting() {
  for (const auto &Thread : State->Threads)
    asio::post(Thread->Context, [Thread = Thread.get()] {
      error_code Ignored;
      Thread->Public.close(Ignored);
    });
}

void traffic_threads::stop() {
  for (const auto &Thread : State->Threads)
    Thread->Context.stop();
  for (const auto &Thread : State->Threads)
    if (Thread->Thread.joinable())
      Thread->Thread.join();
}

} // namespace magnoliaspread
