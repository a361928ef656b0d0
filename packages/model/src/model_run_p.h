/// One run of the model: state of callers, instances and targets, and the queue
/// of events.
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
  Arrival,
  AtTarget,
  WorkDone,
  AnswerReceived,
  Tick,
};

struct event {
  steady_time At;
  /// Breaks ties between events of the same time.
  std::uint64_t Order = 0;
  event_kind Kind = event_kind::Tick;
  std::uint64_t Request = 0;
  /// Of the target, for WorkDone.
  std::uint32_t Incarnation = 0;

  bool operator>(const event &Other) const {
    return std::pair(At, Order) > std::pair(Other.At, Other.Order);
  }
};

/// Where a request is at the moment.
enum class request_place : std::uint8_t {
  /// Not sent yet, or refused with a time to retry after.
  Caller,
  Instance,
  ToTarget,
  TargetQueue,
  Running,
  FromTarget,
};

struct request_state {
  const trace_request *Trace = nullptr;
  steady_time FirstArrival;
  std::uint32_t CallerRetries = 0;
  std::uint32_t Attempts = 0;
  std::size_t Instance = 0;
  /// Incarnation of the instance that sent it; a later one drops the answer.
  std::uint32_t InstanceIncarnation = 0;
  target_handle Target;
  steady_time SentAt;
  bool MayHaveRun = false;
  request_place Place = request_place::Caller;
  /// Its outcome has been counted; a target may still run it.
  bool Counted = false;
  target_result Result = target_result::Answered;
  target_report Report;
  std::vector<target_handle> Tried;
};

struct instance_state {
  std::uint16_t Region = 0;
  std::unique_ptr<placement_policy> Policy;
  bool Up = true;
  /// Counts crashes.
  std::uint32_t Incarnation = 0;
};

class model_run {
public:
  model_run(const load_plan &Plan, const std::vector<trace_request> &Trace,
            const model_setup &Setup);
  model_report run();

private:
  void push(steady_time At, event_kind Kind, std::uint64_t Request,
            std::uint32_t Incarnation = 0);
  void handle(const event &Event);
  const load_kind &kindOf(const request_state &Request) const;
  std::size_t regionOf(const std::string &Name) const;
  service_handle serviceOf(const std::string &Name);
  void makeTargets();
  void makeInstances();
  /// Starts or restarts an instance, with a policy that has no state yet.
  void startInstance(std::size_t Instance);
  /// All targets as seen by an instance of \p Region; a region is modelled as
  /// one data centre.
  std::vector<placer_target> targetsFor(std::uint16_t Region) const;

  /// An instance that is up, preferably in the caller's region.
  std::optional<std::size_t> instanceFor(std::uint64_t Request) const;
  place_request makePlaceRequest(std::uint64_t Number) const;
  /// Delivers a request, or a retry by its caller, to an instance.
  void admit(std::uint64_t Number);
  void place(std::uint64_t Number);
  void applyVerdict(std::uint64_t Number, const placement_verdict &Verdict);
  /// One way between the request's instance and its target.
  std::chrono::milliseconds networkDelay(const request_state &State) const;
  void sendAnswer(std::uint64_t Number, target_result Result);
  void arriveAtTarget(std::uint64_t Number);
  void startWork(std::uint64_t Number);
  void finishWork(std::uint64_t Number, std::uint32_t Incarnation);
  void receiveAnswer(std::uint64_t Number);
  void retry(std::uint64_t Number);
  void poll(std::size_t Instance);

  /// The caller retries after \p RetryAfter if its deadline allows it.
  void handleRefusal(std::uint64_t Number,
                     std::chrono::milliseconds RetryAfter);
  void recordOutcome(std::uint64_t Number, bool Answered);
  static void add(model_count &Sum, const model_count &Outcome);
  void tick();

  /// Delivers updates at once: PeerDelay is shorter than a tick.
  void exchangeUpdates();
  /// Whether a disruption is active and affects the target or instance at
  /// index \p Row, which is in \p Region.
  bool affects(std::size_t Trouble, std::size_t Row, std::size_t Region) const;
  void applyTroubles();

  /// Running requests may have run; queued ones have not.
  void crashTarget(std::size_t Index);

  /// Callers get no answer to requests in flight at the instance.
  void crashInstance(std::size_t Index);

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
