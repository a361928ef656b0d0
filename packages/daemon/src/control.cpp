#include <magnoliaspread/control.h>

#include "admin_p.h"
#include "configsys_p.h"
#include "views_p.h"

#include <magnoliaspread/http_store.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/traffic.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <random>

namespace magnoliaspread {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Callers may use an answer for this long beyond its time to live.
constexpr milliseconds LookupGrace{500};

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device() | 1U;
}

member_identity identityOf(const instance_settings &Settings,
                           const clock &Clock) {
  member_identity Identity;
  Identity.Name = Settings.Name;
  Identity.DataCentre = Settings.DataCentre;
  Identity.Region = Settings.Region;
  Identity.Incarnation = randomNumber();
  Identity.Epoch = static_cast<std::uint64_t>(
      duration_cast<seconds>(Clock.wall().time_since_epoch()).count());
  Identity.Internal = Settings.Internal;
  Identity.Public = Settings.Public;
  return Identity;
}

http_store_settings storeSettings(const instance_settings &Settings) {
  http_store_settings Store;
  Store.Platform = Settings.Platform;
  return Store;
}

class instance {
public:
  instance(const instance_settings &Settings, const clock &Clock,
           fleet_secret Secret);

  status run();

private:
  void tick();
  void publish();
  void take(const traffic_frame &Frame) { Frames[Frame.Thread] = Frame; }
  std::size_t inFlight() const;
  void beginDrain();
  void watchDrain();
  admin_answer healthPage() const;
  admin_answer statusPage() const;

  const instance_settings &Settings;
  const clock &Clock;
  fleet_secret Secret;
  asio::io_context Context{1};
  http_store Store;
  membership Members;
  config_system Config;
  traffic_threads Traffic;
  /// The latest frame of each traffic thread.
  std::vector<traffic_frame> Frames;
  admin_port Admin;
  asio::steady_timer Timer;
  asio::signal_set Signals;
  config_index_ptr InForce;
  bool Draining = false;
  steady_time DrainingSince;
};

instance::instance(const instance_settings &Settings, const clock &Clock,
                   fleet_secret FleetSecret)
    : Settings(Settings), Clock(Clock), Secret(std::move(FleetSecret)),
      Store(Context, storeSettings(Settings), Clock, randomNumber()),
      Members(identityOf(Settings, Clock), randomNumber(), Clock.now()),
      Config(Context, Store, Clock, Secret, randomNumber(),
             [this](const config_index_ptr &Index) {
               InForce = Index;
               Members.setConfig(this->Clock.now(), Config.inForce());
               publish();
             }),
      Traffic(Settings, Clock, Secret,
              [this](traffic_frame Frame) {
                asio::post(Context, [this, Frame] { take(Frame); });
              }),
      Frames(Settings.TrafficThreads),
      Admin(Context, {{"/healthz", [this] { return healthPage(); }},
                      {"/status", [this] { return statusPage(); }}}),
      Timer(Context), Signals(Context, SIGTERM, SIGINT) {}

std::size_t instance::inFlight() const {
  std::size_t Sum = 0;
  for (const traffic_frame &Frame : Frames)
    Sum += Frame.InFlight;
  return Sum;
}

admin_answer instance::healthPage() const {
  const bool Ready = InForce != nullptr && !Draining;
  return {Ready ? 200U : 503U, "application/json",
          Ready ? "{\"ready\":true}" : "{\"ready\":false}"};
}

admin_answer instance::statusPage() const {
  const boost::json::object Status{
      {"name", Settings.Name},
      {"data_centre", Settings.DataCentre},
      {"region", Settings.Region},
      {"config_version", Config.inForce().Version},
      {"config_staleness_ms", Config.sync().staleness(Clock.now()).count()},
      {"platform_reachable", Store.reachable()},
      {"draining", Draining},
      {"in_flight", inFlight()}};
  return {200, "application/json", boost::json::serialize(Status)};
}

void instance::publish() {
  auto View = std::make_shared<traffic_view>();
  View->Config = InForce;
  View->Leaving = Draining;
  if (InForce != nullptr)
    View->Instances = lookupOrder(Members, InForce->Table, Clock.now());
  Traffic.publish(View);
}

void instance::tick() {
  Members.setPlatformReachable(Store.reachable());
  Config.tick(Members.isSpeaker(), {});
  if (Draining)
    watchDrain();
  Timer.expires_after(Settings.ControlTick);
  Timer.async_wait([this](boost::system::error_code Stopped) {
    if (!Stopped)
      tick();
  });
}

void instance::beginDrain() {
  if (Draining)
    return;
  Draining = true;
  DrainingSince = Clock.now();
  logEvent(log_level::Info, "drain_started", {{"instance", Settings.Name}});
  publish();
}

void instance::watchDrain() {
  const auto Since = Clock.now() - DrainingSince;
  const bool Unknown = Since >= Settings.LookupTtl + LookupGrace;
  const bool TooLong = Since >= Settings.DrainTimeout;
  if (!TooLong && (!Unknown || inFlight() > 0))
    return;
  logEvent(log_level::Info, "drain_ended",
           {{"instance", Settings.Name},
            {"ms", duration_cast<milliseconds>(Since).count()},
            {"in_flight", inFlight()}});
  Context.stop();
}

status instance::run() {
  const status Opened = Admin.open(Settings.Admin);
  if (failed(Opened))
    return Opened;
  const status Started = Traffic.start();
  if (failed(Started))
    return Started;
  Signals.async_wait([this](boost::system::error_code Stopped, int) {
    if (!Stopped)
      beginDrain();
  });
  logEvent(log_level::Info, "started",
           {{"instance", Settings.Name},
            {"data_centre", Settings.DataCentre},
            {"public_port", Settings.Public.Port}});
  tick();
  Context.run();
  Traffic.stop();
  return {};
}

} // namespace

status runInstance(const instance_settings &Settings, const clock &Clock) {
  result<fleet_secret> Secret = parseFleetSecret(Settings.FleetSecret);
  if (failed(Secret))
    return errorOf(Secret);
  instance Instance(Settings, Clock, std::move(valueOf(Secret)));
  return Instance.run();
}

} // namespace magnoliaspread
