/// One run of the model: the state of callers, instances and targets, and the
/// events between them.
#ifndef MAGNOLIASPREAD_MODEL_RUN_P_H
#define MAGNOLIASPREAD_MODEL_RUN_P_H

#include "model_target_p.h"

#include <magnoliaspread/fleet_model.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace magnoliaspread {

/// Simulated time at which a run begins.
inline constexpr steady_time ModelStart{std::chrono::hours(1)};

enum class event_kind : std::uint8_t {
  Ask,
  AtTarget,
  WorkDone,
  AtInstance,
  Tick,
};

struct event {
  steady_time At;
  std::uint64_t Order = 0;
  event_kind Kind = event_kind::Tick;
  std::uint64_t Request = 0;
  std::uint32_t Life = 0;

  bool operator>(const event &Other) const {
    return std::pair(At, Order) > std::pair(Other.At, Other.Order);
  }
};

/// Where a request is.
enum class request_place : std::uint8_t {
  /// Not asked yet, or told when to come back.
  Caller,
  Instance,
  ToTarget,
  TargetQueue,
  Running,
  FromTarget,
};

struct request_state {
  const trace_request *Trace = nullptr;
  steady_time FirstAsked;
  std::uint32_t Returns = 0;
  std::uint32_t Sends = 0;
  std::size_t Instance = 0;
  /// Counts restarts of the instance, so that answers to a lost one are lost.
  std::uint32_t InstanceLife = 0;
  target_handle Target;
  steady_time SentAt;
  bool MayHaveRun = false;
  request_place Place = request_place::Caller;
  /// Its caller has been counted; a target may still run it.
  bool Done = false;
  target_result Result = target_result::Answered;
  target_report Report;
  std::vector<target_handle> Tried;
};

struct instance_state {
  std::uint16_t Region = 0;
  std::unique_ptr<placement_policy> Policy;
  bool Up = true;
  std::uint32_t Life = 0;
};

class model_run {
public:
  model_run(const load_plan &Plan, const std::vector<trace_request> &Trace,
            const model_setup &Setup);
  model_report run();

private:
  void push(steady_time At, event_kind Kind, std::uint64_t Request,
            std::uint32_t Life = 0);
  void handle(const event &Event);
  const load_kind &kindOf(const request_state &Request) const;
  std::size_t regionOf(const std::string &Name) const;
  service_handle serviceOf(const std::string &Name);
  void makeTargets();
  void makeInstances();
  void startInstance(std::size_t Instance);
  std::vector<placer_target> targetsFor(std::uint16_t Region) const;

  /// An instance that is up, in the caller's region when there is one.
  std::optional<std::size_t> instanceFor(std::uint64_t Request) const;
  place_request placeRequest(std::uint64_t Number) const;
  void ask(std::uint64_t Number);
  void place(std::uint64_t Number);
  void take(std::uint64_t Number, const placement_verdict &Verdict);
  std::chrono::milliseconds delayTo(const request_state &State) const;
  void answer(std::uint64_t Number, target_result Result);
  void atTarget(std::uint64_t Number);
  void startWork(std::uint64_t Number);
  void workDone(std::uint64_t Number, std::uint32_t Life);
  void atInstance(std::uint64_t Number);
  void sendAgain(std::uint64_t Number);
  void poll(std::size_t Instance);

  /// The caller comes back once the time that it was told has passed.
  void refused(std::uint64_t Number, std::chrono::milliseconds RetryAfter);
  void end(std::uint64_t Number, bool Answered);
  static void add(model_count &Sum, const model_count &One);
  void tick();

  /// News arrive PeerDelay later; they are given at once, which is within a
  /// tick.
  void exchangeNews();
  bool hits(std::size_t Trouble, std::size_t Row, std::size_t Region) const;
  void applyTroubles();

  /// Requests that ran there may have run; those that waited have not.
  void loseTarget(std::size_t Index);

  /// Callers learn nothing of the requests that the instance held.
  void loseInstance(std::size_t Index);

  const load_plan &Plan;
  const std::vector<trace_request> &Trace;
  model_setup Setup;
  steady_time Now = ModelStart;
  std::uint64_t Order = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::map<std::string, service_handle> Services;
  std::vector<model_target> Targets;
  std::vector<instance_state> Instances;
  std::vector<request_state> Requests;
  model_report Report;
};

} // namespace magnoliaspread

#endif
