#include <magnoliaspread/waitqueue.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace magnoliaspread {

namespace {

/// Weight of a priority relative to the next more urgent one.
constexpr double PriorityFactor = 0.25;
constexpr std::uint32_t MaxPrioritySteps = 4;
constexpr std::uint32_t WorkspaceShift = 8;
constexpr double LeastWeight = 1e-4;
/// Flows without requests are dropped beyond this number.
constexpr std::size_t MaxFlows = 4096;

double priorityWeight(std::uint32_t Priority) {
  return std::pow(PriorityFactor, std::min(Priority, MaxPrioritySteps));
}

std::uint32_t routePriority(const place_request &Request) {
  return Request.Priority & ((1U << WorkspaceShift) - 1);
}

auto urgency(const place_request &Request, steady_time Now) {
  return std::tuple(Request.GoodUntil <= Now, Request.Priority, Request.Arrived,
                    Request.Id);
}

} // namespace

double workspaceWeight(std::uint32_t Priority) {
  return priorityWeight(Priority);
}

double &wait_queue::virtualTime(service_handle Service) {
  if (Service.Index >= VirtualTimes.size())
    VirtualTimes.resize(Service.Index + 1U);
  return VirtualTimes[Service.Index];
}

wait_queue::flow &wait_queue::flowOf(const place_request &Request,
                                     steady_time Now) {
  if (Flows.size() >= MaxFlows)
    std::erase_if(Flows,
                  [](const auto &Entry) { return Entry.second.Count == 0; });
  flow &Flow = Flows[keyOf(Request)];
  Flow.Weight =
      std::max(LeastWeight,
               workspaceWeight(Request.Priority >> WorkspaceShift) *
                   Shares.partHere(Request.Service, Request.Workspace, Now));
  if (Flow.Count == 0)
    activateFlow(Flow, virtualTime(Request.Service));
  return Flow;
}

void wait_queue::count(const place_request &Request, double SlotSeconds,
                       steady_time Now) {
  if (fair())
    Shares.count(Request.Service, Request.Workspace, SlotSeconds, Now);
}

bool wait_queue::push(waiting_request Row, steady_time Now) {
  if (!fair()) {
    if (Rows.size() >= Capacity)
      return false;
    Rows.push_back(std::move(Row));
    return true;
  }
  const auto OwnPlaces = static_cast<std::size_t>(std::max(
      1.0, std::floor(static_cast<double>(Capacity) * Policy.QueuePart)));
  const bool AtBound = flowOf(Row.Request, Now).Count >= OwnPlaces;
  if (AtBound || Rows.size() >= Capacity) {
    const std::optional<std::size_t> Victim =
        AtBound ? std::nullopt : victim(Row, Now);
    if (!Victim) {
      Shares.noteRefused(Row.Request.Service, Row.Request.Workspace);
      return false;
    }
    Shares.noteRefused(Rows[*Victim].Request.Service,
                       Rows[*Victim].Request.Workspace);
    Evicted.push_back(Rows[*Victim]);
    erase(*Victim);
  }
  flow &Flow = flowOf(Row.Request, Now);
  ++Flow.Count;
  Flow.Queued += Row.SlotSeconds;
  Rows.push_back(std::move(Row));
  return true;
}

/// The last request of the workspace with the most queued slot time by weight;
/// empty if that is the new one's.
std::optional<std::size_t> wait_queue::victim(const waiting_request &Row,
                                              steady_time Now) {
  const std::uint64_t Own = keyOf(Row.Request);
  const flow &OwnFlow = flowOf(Row.Request, Now);
  double Most = (OwnFlow.Queued + Row.SlotSeconds) / OwnFlow.Weight;
  std::optional<std::uint64_t> Over;
  for (const auto &[Key, Flow] : Flows)
    if (Key != Own && Flow.Count > 0 && Flow.Queued / Flow.Weight > Most) {
      Most = Flow.Queued / Flow.Weight;
      Over = Key;
    }
  // Within the own workspace a more urgent request takes the place of the last.
  const std::uint64_t From = Over.value_or(Own);
  std::optional<std::size_t> Last;
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (keyOf(Rows[I].Request) == From &&
        (!Last ||
         urgency(Rows[*Last].Request, Now) < urgency(Rows[I].Request, Now)))
      Last = I;
  if (!Over && Last && Rows[*Last].Request.Priority <= Row.Request.Priority)
    return std::nullopt;
  return Last;
}

void wait_queue::erase(std::size_t Index) {
  const waiting_request &Row = Rows[Index];
  if (const auto Found = Flows.find(keyOf(Row.Request)); Found != Flows.end()) {
    flow &Flow = Found->second;
    Flow.Count -= Flow.Count > 0 ? 1 : 0;
    Flow.Queued =
        Flow.Count == 0 ? 0 : std::max(0.0, Flow.Queued - Row.SlotSeconds);
  }
  Rows.erase(Rows.begin() + static_cast<std::ptrdiff_t>(Index));
}

std::optional<waiting_request> wait_queue::remove(std::uint64_t Id) {
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(), [Id](const waiting_request &Row) {
        return Row.Request.Id == Id;
      });
  if (Found == Rows.end())
    return std::nullopt;
  waiting_request Row = *Found;
  erase(static_cast<std::size_t>(Found - Rows.begin()));
  return Row;
}

void wait_queue::sort(steady_time Now) {
  std::sort(Rows.begin(), Rows.end(),
            [Now](const waiting_request &A, const waiting_request &B) {
              return urgency(A.Request, Now) < urgency(B.Request, Now);
            });
  if (fair())
    sortFairly(Now);
}

/// The order in which the requests would start if any target could take each.
void wait_queue::sortFairly(steady_time Now) {
  struct lane {
    fair_flow Flow;
    std::vector<std::size_t> Members;
    std::size_t Next = 0;
  };
  struct group {
    fair_flow Flow;
    double VirtualTime = 0;
    std::map<std::uint32_t, lane> Lanes;
    std::size_t Left = 0;
  };
  // By workspace and service, both in order so that ties are broken alike.
  std::map<std::uint64_t, group> Groups;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const place_request &Request = Rows[I].Request;
    const auto [Found, IsNew] = Groups.try_emplace(keyOf(Request));
    group &Group = Found->second;
    flow &Flow = flowOf(Request, Now);
    if (IsNew) {
      Group.Flow = Flow;
      Group.VirtualTime = Flow.VirtualTime;
    }
    const std::uint32_t Priority = routePriority(Request);
    lane &Lane = Group.Lanes[Priority];
    if (Lane.Members.empty()) {
      Lane.Flow = Flow.Priorities[Priority];
      Lane.Flow.Weight = priorityWeight(Priority);
      activateFlow(Lane.Flow, Flow.VirtualTime);
    }
    Lane.Members.push_back(I);
    ++Group.Left;
  }
  std::vector<waiting_request> Ordered;
  Ordered.reserve(Rows.size());
  double Ignored = 0;
  while (Ordered.size() < Rows.size()) {
    group *Group = nullptr;
    for (auto &[Key, Row] : Groups)
      if (Row.Left > 0 && (!Group || Row.Flow.Start < Group->Flow.Start))
        Group = &Row;
    lane *Lane = nullptr;
    for (auto &[Priority, Row] : Group->Lanes)
      if (Row.Next < Row.Members.size() &&
          (!Lane || Row.Flow.Start < Lane->Flow.Start))
        Lane = &Row;
    waiting_request &Row = Rows[Lane->Members[Lane->Next++]];
    serveFlow(Lane->Flow, Row.SlotSeconds, Group->VirtualTime);
    serveFlow(Group->Flow, Row.SlotSeconds, Ignored);
    --Group->Left;
    Ordered.push_back(std::move(Row));
  }
  Rows = std::move(Ordered);
}

void wait_queue::retain(const std::function<bool(waiting_request &Row)> &Keep) {
  std::vector<waiting_request> All = std::exchange(Rows, {});
  Rows.reserve(All.size());
  std::vector<waiting_request> Removed;
  for (waiting_request &Row : All)
    (Keep(Row) ? Rows : Removed).push_back(std::move(Row));
  if (fair())
    countFlows();
}

void wait_queue::setFair(bool Enabled) {
  Policy.Enabled = Enabled;
  countFlows();
}

void wait_queue::countFlows() {
  for (auto &[Key, Flow] : Flows) {
    Flow.Count = 0;
    Flow.Queued = 0;
  }
  for (const waiting_request &Row : Rows) {
    flow &Flow = Flows[keyOf(Row.Request)];
    ++Flow.Count;
    Flow.Queued += Row.SlotSeconds;
  }
}

bool wait_queue::mayStart(const place_request &Request, steady_time Now) const {
  return !fair() || Shares.hasRoom(Request.Service, Request.Workspace, Now);
}

void wait_queue::started(const place_request &Request, double SlotSeconds,
                         steady_time Now) {
  if (!fair())
    return;
  Shares.spend(Request.Service, Request.Workspace, SlotSeconds, Now);
  flow &Flow = flowOf(Request, Now);
  const std::uint32_t Priority = routePriority(Request);
  fair_flow &Inner = Flow.Priorities[Priority];
  Inner.Weight = priorityWeight(Priority);
  activateFlow(Inner, Flow.VirtualTime);
  serveFlow(Inner, SlotSeconds, Flow.VirtualTime);
  serveFlow(Flow, SlotSeconds, virtualTime(Request.Service));
}

double wait_queue::secondsAhead(const place_request &Request,
                                steady_time Now) const {
  double Seconds = 0;
  if (!fair()) {
    for (const waiting_request &Row : Rows)
      if (Row.Request.Service == Request.Service &&
          urgency(Row.Request, Now) < urgency(Request, Now))
        Seconds += Row.SlotSeconds;
    return Seconds;
  }
  for (const waiting_request &Row : Rows)
    if (keyOf(Row.Request) == keyOf(Request) &&
        urgency(Row.Request, Now) < urgency(Request, Now))
      Seconds += Row.SlotSeconds;
  const auto Own = Flows.find(keyOf(Request));
  const double Virtual = Request.Service.Index < VirtualTimes.size()
                             ? VirtualTimes[Request.Service.Index]
                             : 0;
  fair_flow Flow;
  if (Own != Flows.end())
    Flow = Own->second;
  if (Own == Flows.end() || Own->second.Count == 0)
    activateFlow(Flow, Virtual);
  const double Finish = Flow.Start + Seconds / Flow.Weight;
  for (const auto &[Key, Other] : Flows)
    if (Key != keyOf(Request) && Key >> 32U == Request.Service.Index &&
        Other.Count > 0)
      Seconds += workUntil(Other, Finish, Other.Queued);
  return Seconds;
}

double wait_queue::secondsUntilShare(const place_request &Request,
                                     steady_time Now) const {
  const auto Own = Flows.find(keyOf(Request));
  const double Queued = Own == Flows.end() ? 0 : Own->second.Queued;
  return Shares.secondsUntil(Request.Service, Request.Workspace, Queued, Now);
}

std::size_t wait_queue::waitingOf(service_handle Service,
                                  std::uint32_t Workspace) const {
  place_request Request;
  Request.Service = Service;
  Request.Workspace = Workspace;
  const auto Found = Flows.find(keyOf(Request));
  return Found == Flows.end() ? 0 : Found->second.Count;
}

} // namespace magnoliaspread
