/// The gate's handling of its own path to the targets.
#include "gate_p.h"

#include <magnoliaspread/log.h>

#include <utility>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ProbeTimeout{300};

void logPath(log_level Level, std::string_view Event,
             const path_evidence &Evidence, std::size_t InFlight) {
  logEvent(Level, Event,
           {{"failing", Evidence.FailingTargets},
            {"in_flight_targets", Evidence.InFlightTargets},
            {"heard_age_ms", Evidence.HeardAge.count()},
            {"probes_failed", Evidence.ProbesFailed},
            {"answers", Evidence.Answers},
            {"peer_hears", Evidence.PeerHears ? 1 : 0},
            {"in_flight", InFlight}});
}

} // namespace

std::optional<target_handle>
gate::state::placeNow(const place_request &Request) {
  const auto Target = Placer.placeNow(Request, Clock.now());
  if (Target)
    Path.sent(*Target, Clock.now(),
              Placer.expectedService(Request.Kind, false));
  return Target;
}

void gate::state::notePathOutcome(target_outcome &End, bool Heard) {
  const steady_time Now = Clock.now();
  if (Heard)
    return Path.heard(End.Target, Now);
  switch (End.Result) {
  case target_result::Answered:
  case target_result::Shed:
  case target_result::Misdirected:
    return Path.heard(End.Target, Now);
  case target_result::Abandoned:
    return Path.abandoned(End.Target);
  case target_result::Unreachable:
  case target_result::Failed:
  case target_result::TimedOut:
    break;
  }
  Path.abandoned(End.Target);
  Path.failed(End.Target, Now);
  if (Path.state() != path_state::Working)
    End.Result = target_result::Abandoned;
}

asio::awaitable<result<outbound_ptr>>
gate::state::connectTo(target_handle Target, steady_time Deadline) {
  if (Path.state() == path_state::Broken)
    co_return error{
        error_kind::TargetUnreachable, "this instance reaches no targets", {}};
  auto Fresh = co_await Pool.connect(Targets[Target.Index].Address, Deadline);
  if (!failed(Fresh))
    Path.connected(Target, Clock.now());
  co_return Fresh;
}

/// A connection that opens is pooled for the next request.
asio::awaitable<void> gate::state::probe(target_handle Target) {
  const endpoint_address Address = Targets[Target.Index].Address;
  auto Fresh = co_await Pool.connect(Address, Clock.now() + ProbeTimeout);
  const bool Succeeded = !failed(Fresh);
  if (Succeeded)
    Pool.putBack(Address, std::move(valueOf(Fresh)));
  Path.probed(Target, Succeeded, Clock.now());
}

std::vector<path_message> gate::state::tickPath() {
  const steady_time Now = Clock.now();
  const path_state Before = Path.state();
  const path_actions Actions = Path.tick(Now);
  if (Before == path_state::Working && Path.state() == path_state::Suspect)
    logPath(log_level::Info, "path_suspected", Path.evidence(Now), InFlight);
  if (Before == path_state::Suspect && Path.state() == path_state::Working)
    logPath(log_level::Info, "path_cleared", Path.evidence(Now), InFlight);
  for (const target_handle Target : Actions.Probes)
    asio::co_spawn(Context, probe(Target), asio::detached);
  std::vector<path_message> Messages;
  if (Actions.Query)
    Messages.emplace_back(*Actions.Query);
  if (!Actions.Announcement)
    return Messages;
  Messages.emplace_back(*Actions.Announcement);
  const bool Broken = Path.state() == path_state::Broken;
  logEvent(Broken ? log_level::Warning : log_level::Info,
           Broken ? "path_broken" : "path_recovered",
           {{"failing_for_ms",
             duration_cast<milliseconds>(Now - Actions.FailingSince).count()},
            {"in_flight", InFlight},
            {"targets", Targets.size()}});
  Placer.forgiveFailures(Actions.FailingSince, Now);
  if (Placer.waiting() > 0)
    wakePlaced();
  return Messages;
}

std::vector<path_message> gate::tickPath() { return State->tickPath(); }

path_report gate::answer(const path_query &Query) {
  return State->Path.answer(Query, State->Clock.now());
}

void gate::receive(const path_report &Report) {
  State->Path.receive(Report, State->Clock.now());
}

void gate::notePeerBroken() { State->Path.notePeerBroken(State->Clock.now()); }

std::uint8_t gate::regionNumber(const std::string &Region) const {
  const auto Found = State->RegionNumbers.find(Region);
  return static_cast<std::uint8_t>(Found == State->RegionNumbers.end()
                                       ? home_regions().size() - 1
                                       : Found->second);
}

void gate::setForwardPeers(std::vector<forward_peer> Peers) {
  State->ForwardPeers.setPeers(std::move(Peers));
}

bool gate::pathBroken() const {
  return State->Path.state() == path_state::Broken;
}

} // namespace magnoliaspread
