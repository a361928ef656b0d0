#include "configsys_p.h"

#include "peerfetch_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/traffic.h>

#include <charconv>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds WatchWait{4000};
constexpr milliseconds WatchRetry{500};
constexpr std::size_t StampDigits = 8;

/// Equal for equal tables, however their JSON is formatted.
config_stamp stampOf(const config_table &Table) {
  config_stamp Stamp{Table.Version, 0};
  const std::string Digest = hashKey(formatTable(Table)).substr(0, StampDigits);
  std::from_chars(Digest.data(), Digest.data() + Digest.size(), Stamp.Hash, 16);
  return Stamp;
}

} // namespace

config_system::config_system(boost::asio::io_context &Context,
                             object_store &Store, const clock &Clock,
                             const fleet_secret &Secret, std::uint64_t Seed,
                             accepted_handler Accepted)
    : Context(Context), Store(Store), Clock(Clock), Secret(Secret),
      Accepted(std::move(Accepted)), Sync(Seed, Clock.now()),
      NextWatch(Clock.now()) {}

void config_system::tick(const membership &Members) {
  const steady_time Now = Clock.now();
  const bool Speaker = Members.isSpeaker();
  Sync.setHolders(configHolders(Members, Now));
  Sync.setSpeakersReach(Now, speakersReachPlatform(Members));
  if (fleetReachesPlatform(Members, Now))
    Sync.confirmCurrent(Now);
  if (const auto Fetch = Sync.nextFetch(Now, Speaker))
    fetch(*Fetch);
  if (!Polling && Sync.platformPollDue(Now, Speaker))
    poll();
  if (Speaker && !Watching && Now >= NextWatch)
    watch();
}

void config_system::poll() {
  Polling = true;
  Store.get({TableObject}, [this](const result<stored_object> &Answer) {
    Polling = false;
    if (failed(Answer))
      return;
    ObjectVersion = valueOf(Answer).Version;
    Sync.confirmCurrent(Clock.now());
    applyTable(valueOf(Answer).Value, config_source::Platform);
  });
}

void config_system::watch() {
  Watching = true;
  Store.watch({TableObject, ObjectVersion, WatchWait},
              [this](const result<watch_answer> &Answer) {
                Watching = false;
                if (failed(Answer)) {
                  NextWatch = Clock.now() + WatchRetry;
                  return;
                }
                Sync.confirmCurrent(Clock.now());
                if (!valueOf(Answer).Changed)
                  return;
                const stored_object &Object = valueOf(Answer).Object;
                ObjectVersion = Object.Version;
                if (Object.Version != NoObject)
                  applyTable(Object.Value, config_source::Platform);
              });
}

void config_system::fetch(const config_fetch &Fetch) {
  fetchFromPeer(Context, Clock, Secret, Fetch.From, ConfigPath,
                [this, Peer = Fetch.Peer](const result<std::string> &Answer) {
                  if (failed(Answer) ||
                      !applyTable(valueOf(Answer), config_source::Peer))
                    Sync.fetchFailed(Clock.now(), Peer);
                });
}

bool config_system::applyTable(const std::string &Text, config_source Source) {
  result<config_table> Parsed = parseTable(Text);
  const steady_time Now = Clock.now();
  if (failed(Parsed)) {
    logEvent(
        log_level::Warning, "table_refused",
        {{"source", Source == config_source::Platform ? "platform" : "peer"},
         {"detail", errorOf(Parsed).Detail}});
    return false;
  }
  const config_stamp Stamp = stampOf(valueOf(Parsed));
  if (Sync.classify(Now, Stamp, Source) != config_verdict::Accept)
    return true;
  Sync.activate(Now, Stamp);
  logEvent(
      log_level::Info, "config_in_force",
      {{"version", Stamp.Version},
       {"source", Source == config_source::Platform ? "platform" : "peer"}});
  Accepted(indexTable(std::move(valueOf(Parsed))));
  return true;
}

} // namespace magnoliaspread
