#include "model_run_p.h"

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Period in which waiting requests are polled: close to the 15 ms of the gate;
/// divides UpdatePeriod.
constexpr milliseconds PollPeriod{10};
/// Period of the updates between instances of a region, as in the daemon.
constexpr milliseconds UpdatePeriod{100};
/// Delay of a message between two instances of a region.
constexpr milliseconds PeerDelay{2};
/// Time that a run continues after its last arrival, to finish requests.
constexpr milliseconds RunTail{20000};

} // namespace

model_run::model_run(const load_plan &Plan,
                     const std::vector<trace_request> &Trace,
                     const model_setup &Setup)
    : Plan(Plan), Trace(Trace), Setup(Setup) {
  makeTargets();
  makeInstances();
  Requests.resize(Trace.size());
  Report.Seconds.resize(static_cast<std::size_t>(
      duration_cast<std::chrono::seconds>(Plan.Length).count() + 1));
  for (const load_region &Row : Plan.Regions)
    Report.Regions.push_back({Row.Name, {}});
  for (const load_kind &Row : Plan.Kinds)
    Report.Kinds.push_back({Row.Name, {}});
}

model_report model_run::run() {
  for (std::size_t I = 0; I < Trace.size(); ++I) {
    Requests[I].Trace = &Trace[I];
    Requests[I].FirstArrival = ModelStart + Trace[I].At;
    push(Requests[I].FirstArrival, event_kind::Arrival, I);
  }
  push(ModelStart, event_kind::Tick, 0);
  const steady_time End = ModelStart + Plan.Length + RunTail;
  while (!Events.empty() && Events.top().At < End) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    handle(Next);
  }
  for (std::size_t I = 0; I < Requests.size(); ++I)
    if (!Requests[I].Counted)
      recordOutcome(I, false);
  return std::move(Report);
}

void model_run::push(steady_time At, event_kind Kind, std::uint64_t Request,
                     std::uint32_t Incarnation) {
  Events.push({At, ++Order, Kind, Request, Incarnation});
}

void model_run::handle(const event &Event) {
  switch (Event.Kind) {
  case event_kind::Arrival:
    return admit(Event.Request);
  case event_kind::AtTarget:
    return arriveAtTarget(Event.Request);
  case event_kind::WorkDone:
    return finishWork(Event.Request, Event.Incarnation);
  case event_kind::AnswerReceived:
    return receiveAnswer(Event.Request);
  case event_kind::Tick:
    return tick();
  }
}

const load_kind &model_run::kindOf(const request_state &Request) const {
  return Plan.Kinds[Request.Trace->Kind];
}

std::size_t model_run::regionOf(const std::string &Name) const {
  const auto Found =
      std::find_if(Plan.Regions.begin(), Plan.Regions.end(),
                   [&](const load_region &R) { return R.Name == Name; });
  return static_cast<std::size_t>(Found - Plan.Regions.begin());
}

service_handle model_run::serviceOf(const std::string &Name) {
  const auto Next = handleAt<service_handle>(Services.size());
  return Services.try_emplace(Name, Next).first->second;
}

void model_run::makeTargets() {
  for (const load_pool &Row : Plan.Pools)
    for (std::uint32_t I = 0; I < Row.Targets; ++I) {
      model_target Target;
      Target.Service = serviceOf(Row.Service).Index;
      Target.Region = static_cast<std::uint16_t>(regionOf(Row.Region));
      Target.Slots = Row.Slots;
      Target.Queue = Row.Queue;
      Target.CachedObjects = Row.CachedObjects;
      Targets.push_back(std::move(Target));
    }
}

void model_run::makeInstances() {
  for (std::size_t Region = 0; Region < Plan.Regions.size(); ++Region)
    for (std::uint32_t I = 0; I < Plan.Regions[Region].Instances; ++I) {
      instance_state &State = Instances.emplace_back();
      State.Region = static_cast<std::uint16_t>(Region);
      startInstance(Instances.size() - 1);
    }
}

void model_run::startInstance(std::size_t Instance) {
  instance_state &State = Instances[Instance];
  State.Policy = makePolicy(Setup.Policy, Setup.Placer,
                            rendezvousScore(Setup.Seed, Instance));
  State.Policy->setTargets(targetsFor(State.Region), Now);
}

std::vector<placer_target> model_run::targetsFor(std::uint16_t Region) const {
  std::vector<placer_target> Rows;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    placer_target Row;
    Row.Handle = handleAt<target_handle>(I);
    Row.Service = handleAt<service_handle>(Targets[I].Service);
    Row.Id = rendezvousScore(Setup.Seed, I);
    Row.Slots = Targets[I].Slots;
    Row.Region = static_cast<std::uint8_t>(Targets[I].Region);
    Row.Distance = Targets[I].Region == Region ? target_distance::DataCentre
                                               : target_distance::Remote;
    Rows.push_back(Row);
  }
  return Rows;
}

std::optional<std::size_t> model_run::instanceFor(std::uint64_t Request) const {
  const std::uint16_t Region = Requests[Request].Trace->Region;
  std::vector<std::size_t> Near;
  std::vector<std::size_t> Far;
  for (std::size_t I = 0; I < Instances.size(); ++I)
    if (Instances[I].Up)
      (Instances[I].Region == Region ? Near : Far).push_back(I);
  const std::vector<std::size_t> &From = Near.empty() ? Far : Near;
  if (From.empty())
    return std::nullopt;
  return From[rendezvousScore(Request, Requests[Request].CallerRetries) %
              From.size()];
}

place_request model_run::makePlaceRequest(std::uint64_t Number) const {
  const request_state &State = Requests[Number];
  const load_kind &Kind = kindOf(State);
  place_request Request;
  Request.Id = Number;
  Request.Service = Services.at(Kind.Service);
  Request.Object = State.Trace->Object;
  Request.Kind = State.Trace->Kind;
  Request.Priority = Kind.Priority;
  Request.Arrived = State.FirstArrival;
  Request.Deadline = State.FirstArrival + Kind.Deadline;
  Request.GoodUntil = State.FirstArrival + Kind.LatencyTarget;
  Request.BodyBytes = Kind.BodyBytes;
  Request.Tried = State.Tried;
  return Request;
}

void model_run::admit(std::uint64_t Number) {
  request_state &State = Requests[Number];
  const auto Instance = instanceFor(Number);
  if (!Instance)
    return handleRefusal(Number, milliseconds(0));
  State.Instance = *Instance;
  State.InstanceIncarnation = Instances[*Instance].Incarnation;
  State.Attempts = 0;
  State.Tried.clear();
  State.Place = request_place::Instance;
  place(Number);
}

void model_run::place(std::uint64_t Number) {
  placement_policy &Policy = *Instances[Requests[Number].Instance].Policy;
  applyVerdict(Number, Policy.place(makePlaceRequest(Number), Now));
}

void model_run::applyVerdict(std::uint64_t Number,
                             const placement_verdict &Verdict) {
  request_state &State = Requests[Number];
  if (const auto *Send = std::get_if<place_send>(&Verdict)) {
    State.Target = Send->Target;
    State.SentAt = Now;
    ++State.Attempts;
    State.Place = request_place::ToTarget;
    push(Now + networkDelay(State), event_kind::AtTarget, Number);
  } else if (const auto *Refusal = std::get_if<error>(&Verdict)) {
    handleRefusal(Number, Refusal->RetryAfter.value_or(milliseconds(0)));
  }
}

milliseconds model_run::networkDelay(const request_state &State) const {
  return Targets[State.Target.Index].Region == Instances[State.Instance].Region
             ? Plan.LocalDelay
             : Plan.RegionDelay;
}

void model_run::sendAnswer(std::uint64_t Number, target_result Result) {
  request_state &State = Requests[Number];
  State.Result = Result;
  State.Place = request_place::FromTarget;
  State.Report = Targets[State.Target.Index].report();
  push(Now + networkDelay(State), event_kind::AnswerReceived, Number);
}

void model_run::arriveAtTarget(std::uint64_t Number) {
  model_target &Target = Targets[Requests[Number].Target.Index];
  if (!Target.Up)
    return sendAnswer(Number, target_result::Unreachable);
  if (Target.Running < Target.Slots)
    return startWork(Number);
  if (Target.Waiting.size() < Target.Queue) {
    Requests[Number].Place = request_place::TargetQueue;
    Target.Waiting.push_back(Number);
    return;
  }
  ++Report.Shed;
  sendAnswer(Number, target_result::Shed);
}

void model_run::startWork(std::uint64_t Number) {
  request_state &State = Requests[Number];
  model_target &Target = Targets[State.Target.Index];
  State.Place = request_place::Running;
  ++Target.Running;
  const load_kind &Kind = kindOf(State);
  double Factor = State.Trace->WorkFactor * Target.Slowness;
  if (Target.isCached(State.Trace->Object))
    Factor *= Kind.WarmPart;
  else
    ++Report.ColdRuns;
  const auto Work = duration_cast<nanoseconds>(Kind.ColdWork * Factor);
  push(Now + Work, event_kind::WorkDone, Number, Target.Incarnation);
}

void model_run::finishWork(std::uint64_t Number, std::uint32_t Incarnation) {
  model_target &Target = Targets[Requests[Number].Target.Index];
  if (Target.Incarnation != Incarnation)
    return;
  --Target.Running;
  Target.cacheObject(Requests[Number].Trace->Object);
  sendAnswer(Number, target_result::Answered);
  while (!Target.Waiting.empty() && Target.Running < Target.Slots) {
    const std::uint64_t Next = Target.Waiting.front();
    Target.Waiting.pop_front();
    const request_state &State = Requests[Next];
    if (Now < State.FirstArrival + kindOf(State).Deadline) {
      startWork(Next);
      continue;
    }
    ++Report.Shed;
    sendAnswer(Next, target_result::Shed);
  }
}

void model_run::receiveAnswer(std::uint64_t Number) {
  request_state &State = Requests[Number];
  instance_state &Instance = Instances[State.Instance];
  if (Instance.Incarnation != State.InstanceIncarnation)
    return;
  const bool Answered = State.Result == target_result::Answered;
  State.Place = request_place::Instance;
  target_outcome Outcome;
  Outcome.Target = State.Target;
  Outcome.Object = State.Trace->Object;
  Outcome.Kind = State.Trace->Kind;
  Outcome.Result = State.Result;
  Outcome.Took = Now - State.SentAt;
  if (State.Result == target_result::Answered ||
      State.Result == target_result::Shed)
    Outcome.Report = State.Report;
  Instance.Policy->finished(Outcome, Now);
  if (Answered)
    recordOutcome(Number, true);
  else
    retry(Number);
  poll(State.Instance);
}

void model_run::retry(std::uint64_t Number) {
  request_state &State = Requests[Number];
  const bool NotRun = State.Result == target_result::Shed ||
                      State.Result == target_result::Unreachable;
  State.MayHaveRun = State.MayHaveRun || !NotRun;
  State.Tried.push_back(State.Target);
  if (State.Attempts >= Plan.MaxAttempts ||
      (State.MayHaveRun && !kindOf(State).Repeatable))
    return handleRefusal(Number, milliseconds(0));
  place(Number);
}

void model_run::poll(std::size_t Instance) {
  for (const place_grant &Grant : Instances[Instance].Policy->poll(Now))
    applyVerdict(Grant.Id, Grant.Verdict);
}

void model_run::handleRefusal(std::uint64_t Number, milliseconds RetryAfter) {
  request_state &State = Requests[Number];
  const load_kind &Kind = kindOf(State);
  const steady_time RetryAt = Now + RetryAfter;
  if (State.MayHaveRun || State.CallerRetries >= Kind.CallerRetries ||
      RetryAfter.count() == 0 || RetryAt >= State.FirstArrival + Kind.Deadline)
    return recordOutcome(Number, false);
  ++State.CallerRetries;
  State.Place = request_place::Caller;
  push(RetryAt, event_kind::Arrival, Number);
}

void model_run::recordOutcome(std::uint64_t Number, bool Answered) {
  request_state &State = Requests[Number];
  if (State.Counted)
    return;
  State.Counted = true;
  const load_kind &Kind = kindOf(State);
  const nanoseconds Took = Now - State.FirstArrival;
  model_count Outcome;
  Outcome.Offered = 1;
  Outcome.Possible = Kind.Worth;
  if (!Answered && State.MayHaveRun)
    Outcome.Failed = 1;
  else if (!Answered || Took > Kind.Deadline)
    Outcome.Refused = 1;
  else if (Took <= Kind.LatencyTarget)
    Outcome.Good = 1;
  else
    Outcome.Late = 1;
  Outcome.Credit = static_cast<double>(Outcome.Good) * Kind.Worth +
                   static_cast<double>(Outcome.Late) * Kind.LateWorth;
  if (Answered && Targets[State.Target.Index].Region != State.Trace->Region)
    ++Report.Remote;
  const auto Second = static_cast<std::size_t>(
      duration_cast<std::chrono::seconds>(State.Trace->At).count());
  add(Report.All, Outcome);
  add(Report.Regions[State.Trace->Region].Count, Outcome);
  add(Report.Kinds[State.Trace->Kind].Count, Outcome);
  add(Report.Seconds[Second], Outcome);
}

void model_run::add(model_count &Sum, const model_count &Outcome) {
  Sum.Offered += Outcome.Offered;
  Sum.Good += Outcome.Good;
  Sum.Late += Outcome.Late;
  Sum.Refused += Outcome.Refused;
  Sum.Failed += Outcome.Failed;
  Sum.Credit += Outcome.Credit;
  Sum.Possible += Outcome.Possible;
}

void model_run::tick() {
  applyTroubles();
  for (std::size_t I = 0; I < Instances.size(); ++I)
    if (Instances[I].Up)
      poll(I);
  if ((Now - ModelStart) % UpdatePeriod == nanoseconds(0))
    exchangeUpdates();
  if (Now < ModelStart + Plan.Length + RunTail)
    push(Now + PollPeriod, event_kind::Tick, 0);
}

void model_run::exchangeUpdates() {
  static_assert(PeerDelay < PollPeriod);
  for (std::size_t From = 0; From < Instances.size(); ++From) {
    if (!Instances[From].Up)
      continue;
    const object_update Update = Instances[From].Policy->takeUpdates();
    for (std::size_t To = 0; To < Instances.size(); ++To)
      if (To != From && Instances[To].Up &&
          Instances[To].Region == Instances[From].Region)
        Instances[To].Policy->receive(Update, Now);
  }
}

model_report runModel(const load_plan &Plan,
                      const std::vector<trace_request> &Trace,
                      const model_setup &Setup) {
  return model_run(Plan, Trace, Setup).run();
}

} // namespace magnoliaspread
