/// The gate: takes requests of callers by host and path and sends each to a
/// target of its route's service over a direct connection. Runs on the
/// io_context of the control systems; there are no threads of its own.
#ifndef MAGNOLIASPREAD_GATE_H
#define MAGNOLIASPREAD_GATE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/gate_dialect.h>
#include <magnoliaspread/metrics.h>
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/registry.h>
#include <magnoliaspread/retry.h>
#include <magnoliaspread/routes.h>
#include <magnoliaspread/tokensource.h>
#include <magnoliaspread/view.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspread {

struct gate_settings {
  endpoint_address Public;
  std::string DataCentre;
  std::string Region;
  /// Region of each data centre.
  name_map<std::string> Regions;
  /// Keyed requests are served only while the configuration is known to have
  /// been current less than this ago; zero is no bound.
  std::chrono::milliseconds KeyProof{0};
  fleet_retry_settings Retries;
  /// Bodies held at a time, in bytes; further requests are refused.
  std::size_t MaxBodyMemory = 32u << 20;
};

/// A target with what this instance may send to it.
struct gate_target {
  registered_target Target;
  /// Requests a second that this instance may send while it is cold.
  double ColdRate = 0;
};

struct gate_counts {
  /// Requests between their head and the end of their answer.
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;
  std::size_t Connections = 0;
  /// Requests that were in flight on targets that died, and those refused.
  std::size_t Suspects = 0;
  std::size_t Quarantined = 0;
  /// Requests since the start.
  std::uint64_t Requests = 0;
};

class gate {
public:
  /// All references outlive the gate.
  gate(boost::asio::io_context &Context, const gate_settings &Settings,
       const clock &Clock, const gate_dialect &Dialect, token_source &Tokens,
       instance_metrics &Metrics, std::uint64_t Seed);
  ~gate();
  gate(const gate &) = delete;
  gate &operator=(const gate &) = delete;

  /// Opens the port; connections wait there until acceptCallers().
  /// BadSettings when it can't be opened.
  status open();
  void acceptCallers();

  void setRoutes(route_index_ptr Routes);
  /// The configuration in force was the newest one then.
  void setProved(boot_time At);
  void setTargets(const std::vector<gate_target> &Targets);
  /// Instances that share the fleet's limits, this one included.
  void setInstances(std::size_t Count);
  void setTokenWaits(const std::vector<token_wait> &Waits);
  /// Called when a request begins to wait for a token.
  void onTokenShortage(std::function<void()> Handler);
  /// Tokens have come: lets requests that wait for them try again.
  void tokensCame();
  /// Called when a target has said in an answer that it leaves. The next
  /// targets that are set must not have it open. False when it was known.
  using leaving_handler =
      std::function<bool(const std::string &Name, std::int64_t StartedAtMs)>;
  void onTargetLeaving(leaving_handler Handler);
  /// Connections are closed after each answer from now on.
  void setLeaving();

  /// Runs what is due; call every few tens of milliseconds.
  void tick();

  /// Closes the public port, and connections that carry no request.
  void stopAccepting();

  /// Called when a request is refused from now on by what this instance saw.
  using quarantine_handler = std::function<void(const suspect_report &Report)>;
  void onQuarantine(quarantine_handler Handler);
  /// Takes in what a peer knows of requests that crash targets.
  void receive(const quarantine_news &News);
  /// The same from here, for which of \p Peers peers.
  std::vector<quarantine_telling> tellCrashes(std::size_t Peers);
  /// The same for a peer that has just started.
  quarantine_news currentCrashes() const;

  /// Takes in where objects are warm by a peer of the region.
  void receive(const object_news &News);
  /// The same from here, for the peers of the region.
  std::vector<object_news> takeNews();

  gate_counts counts() const;

  /// Shared with the connections; private to the package.
  struct state;

private:
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
