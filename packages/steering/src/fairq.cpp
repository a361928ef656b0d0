#include <magnoliaspread/fairq.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Smallest weight of a workspace.
constexpr double MinWeight = 1e-3;
/// Charge until a slot time is measured, in seconds.
constexpr double InitialSlotSeconds = 0.01;
/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 1.0 / 16;
/// Largest lead of a workspace over the virtual time by charge corrections, in
/// mean slot times.
constexpr double MaxLead = 64;
/// Largest number of active workspaces over which the wait is summed exactly.
constexpr std::size_t MaxExactActive = 32;
/// Grants from which the grant rate of a workspace is used.
constexpr std::uint32_t MinGaps = 4;
constexpr milliseconds MinRetryAfter{10};
constexpr milliseconds MaxRetryAfter{60000};

double secondsOf(nanoseconds Time) { return duration<double>(Time).count(); }

nanoseconds timeOf(double Seconds) {
  return duration_cast<nanoseconds>(duration<double>(std::min(Seconds, 1e6)));
}

milliseconds retryAfter(double Seconds) {
  const milliseconds Time = duration_cast<milliseconds>(timeOf(Seconds));
  return std::clamp(Time, MinRetryAfter, MaxRetryAfter);
}

bool known(const fair_queue &Queue, workspace_handle Workspace) {
  return Workspace.Index < Queue.Workspaces.size();
}

double chargeOf(const fair_queue &Queue, const fair_queue::workspace_queue &W) {
  if (W.MeanSeconds > 0)
    return W.MeanSeconds;
  return Queue.MeanSeconds > 0 ? Queue.MeanSeconds : InitialSlotSeconds;
}

/// Slot time that is granted before an entry of \p Workspace with \p Ahead
/// others of it in front is served, in seconds.
double workBefore(const fair_queue &Queue, std::uint32_t Workspace,
                  std::uint32_t Ahead) {
  const fair_queue::workspace_queue &Own = Queue.Workspaces[Workspace];
  const double OwnWork = Ahead * chargeOf(Queue, Own);
  const double Finish =
      std::max(Own.Start, Queue.VirtualTime) + OwnWork / Own.Weight;
  if (Queue.Active.size() > MaxExactActive) {
    const double Share = Queue.ActiveWeight / Own.Weight;
    return std::min(OwnWork * std::max(Share, 1.0),
                    static_cast<double>(waiting(Queue)) * Queue.MeanSeconds);
  }
  double Work = OwnWork;
  for (const std::uint32_t Id : Queue.Active.members()) {
    if (Id == Workspace)
      continue;
    const fair_queue::workspace_queue &Other = Queue.Workspaces[Id];
    Work += workUntil(Other, Finish, Other.Count * chargeOf(Queue, Other));
  }
  return Work;
}

double waitSeconds(const fair_queue &Queue, std::uint32_t Workspace,
                   std::uint32_t Ahead) {
  if (Queue.Slots == 0 || Queue.MeanSeconds <= 0)
    return 0;
  const double Work = workBefore(Queue, Workspace, Ahead) / Queue.Slots;
  // Entries that others have yet to add are reflected only in the grant rate.
  const fair_queue::workspace_queue &W = Queue.Workspaces[Workspace];
  const double WaitByRate = W.Gaps >= MinGaps ? Ahead * W.GapSeconds : 0;
  return std::max(Work, WaitByRate);
}

/// Largest number of entries of one workspace. Shrinks with the free entries,
/// so that no workspace alone can fill the queue.
std::size_t maxEntries(const fair_queue &Queue) {
  return std::min(Queue.Limits.PerWorkspace, Queue.Free.size());
}

error queueFull(const fair_queue &Queue, std::uint32_t Workspace) {
  const std::uint32_t Count = Queue.Workspaces[Workspace].Count;
  const double Seconds = waitSeconds(Queue, Workspace, Count) / 2;
  return {error_kind::QueueFull, "the workspace's queue is full",
          retryAfter(Seconds)};
}

status checkPush(const fair_queue &Queue, const fairq_entry &Entry,
                 steady_time Now) {
  if (!known(Queue, Entry.Workspace))
    return error{error_kind::BadRequest, "unknown workspace", {}};
  if (Queue.IndexById.contains(Entry.Id))
    return error{error_kind::BadRequest, "the id waits already", {}};
  if (Entry.Deadline <= Now)
    return error{error_kind::DeadlineExpired, "the deadline has passed", {}};
  if (Queue.Slots == 0)
    return error{error_kind::NoCapacity, "no usable target", {}};
  const std::uint32_t Workspace = Entry.Workspace.Index;
  const std::uint32_t Count = Queue.Workspaces[Workspace].Count;
  if (Count >= maxEntries(Queue))
    return queueFull(Queue, Workspace);
  const double Late =
      waitSeconds(Queue, Workspace, Count) - secondsOf(Entry.Deadline - Now);
  if (Late >= 0)
    return error{error_kind::NoCapacity,
                 "the expected wait passes the deadline", retryAfter(Late)};
  return {};
}

void activate(fair_queue &Queue, std::uint32_t Workspace, steady_time Now) {
  fair_queue::workspace_queue &W = Queue.Workspaces[Workspace];
  W.Gaps = 0;
  W.GapSeconds = 0;
  W.LastGrant = Now;
  activateFlow(W, Queue.VirtualTime);
  Queue.Active.set(Workspace, W.Start);
  Queue.ActiveWeight += W.Weight;
}

void deactivate(fair_queue &Queue, std::uint32_t Workspace) {
  Queue.Active.remove(Workspace);
  Queue.ActiveWeight -= Queue.Workspaces[Workspace].Weight;
  if (Queue.Active.empty())
    Queue.ActiveWeight = 0;
}

void unlink(fair_queue &Queue, std::uint32_t Index) {
  fair_queue::waiting_entry &Row = Queue.Entries[Index];
  fair_queue::workspace_queue &W = Queue.Workspaces[Row.Entry.Workspace.Index];
  if (Row.Previous == fair_queue::None)
    W.Head = Row.Next;
  else
    Queue.Entries[Row.Previous].Next = Row.Next;
  if (Row.Next == fair_queue::None)
    W.Tail = Row.Previous;
  else
    Queue.Entries[Row.Next].Previous = Row.Previous;
  --W.Count;
  Queue.Deadlines.remove(Index);
  Queue.IndexById.erase(Row.Entry.Id);
  Queue.Free.push_back(Index);
  if (W.Count == 0)
    deactivate(Queue, Row.Entry.Workspace.Index);
}

void addSample(double &Mean, double Sample) {
  Mean = Mean > 0 ? Mean + (Sample - Mean) * SampleWeight : Sample;
}

void updateGrantRate(fair_queue::workspace_queue &W, steady_time Now) {
  addSample(W.GapSeconds, secondsOf(Now - W.LastGrant));
  W.LastGrant = Now;
  ++W.Gaps;
}

} // namespace

fair_queue::fair_queue(const fairq_limits &Limits)
    : Limits(Limits), Entries(Limits.Total), Workspaces(Limits.Workspaces),
      Active(Limits.Workspaces), Deadlines(Limits.Total) {
  Free.reserve(Limits.Total);
  for (std::size_t I = Limits.Total; I > 0; --I)
    Free.push_back(static_cast<std::uint32_t>(I - 1));
  IndexById.reserve(Limits.Total);
}

void setWeight(fair_queue &Queue, workspace_handle Workspace, double Weight) {
  if (!known(Queue, Workspace))
    return;
  fair_queue::workspace_queue &W = Queue.Workspaces[Workspace.Index];
  const double Old = W.Weight;
  W.Weight = std::isfinite(Weight) ? std::max(Weight, MinWeight) : 1;
  if (W.Count > 0)
    Queue.ActiveWeight += W.Weight - Old;
}

void setSlots(fair_queue &Queue, std::uint32_t Slots) { Queue.Slots = Slots; }

nanoseconds expectedWait(const fair_queue &Queue, workspace_handle Workspace) {
  if (!known(Queue, Workspace))
    return {};
  const std::uint32_t Count = Queue.Workspaces[Workspace.Index].Count;
  return timeOf(waitSeconds(Queue, Workspace.Index, Count));
}

status push(fair_queue &Queue, const fairq_entry &Entry, steady_time Now) {
  status Check = checkPush(Queue, Entry, Now);
  if (failed(Check))
    return Check;
  const std::uint32_t Index = Queue.Free.back();
  Queue.Free.pop_back();
  fair_queue::workspace_queue &W = Queue.Workspaces[Entry.Workspace.Index];
  Queue.Entries[Index] = {Entry, W.Tail, fair_queue::None};
  if (W.Tail == fair_queue::None)
    W.Head = Index;
  else
    Queue.Entries[W.Tail].Next = Index;
  W.Tail = Index;
  Queue.IndexById.emplace(Entry.Id, Index);
  Queue.Deadlines.set(Index, Entry.Deadline);
  if (W.Count++ == 0)
    activate(Queue, Entry.Workspace.Index, Now);
  return {};
}

std::optional<fairq_grant> pop(fair_queue &Queue, steady_time Now,
                               std::vector<fairq_entry> &Expired) {
  expire(Queue, Now, Expired);
  if (Queue.Active.empty())
    return std::nullopt;
  const std::uint32_t Workspace = Queue.Active.top();
  fair_queue::workspace_queue &W = Queue.Workspaces[Workspace];
  const fairq_entry Entry = Queue.Entries[W.Head].Entry;
  const double Charge = chargeOf(Queue, W);
  updateGrantRate(W, Now);
  serveFlow(W, Charge, Queue.VirtualTime);
  unlink(Queue, W.Head);
  if (W.Count > 0)
    Queue.Active.set(Workspace, W.Start);
  return fairq_grant{Entry, timeOf(Charge)};
}

void expire(fair_queue &Queue, steady_time Now,
            std::vector<fairq_entry> &Expired) {
  while (!Queue.Deadlines.empty()) {
    const std::uint32_t Index = Queue.Deadlines.top();
    if (Queue.Deadlines.keyOf(Index) > Now)
      return;
    Expired.push_back(Queue.Entries[Index].Entry);
    unlink(Queue, Index);
  }
}

std::optional<steady_time> nextDeadline(const fair_queue &Queue) {
  if (Queue.Deadlines.empty())
    return std::nullopt;
  return Queue.Deadlines.keyOf(Queue.Deadlines.top());
}

bool cancel(fair_queue &Queue, std::uint64_t Id) {
  const auto Found = Queue.IndexById.find(Id);
  if (Found == Queue.IndexById.end())
    return false;
  unlink(Queue, Found->second);
  return true;
}

void correctCharge(fair_queue &Queue, const fairq_grant &Grant,
                   nanoseconds Used) {
  if (!known(Queue, Grant.Entry.Workspace))
    return;
  const std::uint32_t Workspace = Grant.Entry.Workspace.Index;
  fair_queue::workspace_queue &W = Queue.Workspaces[Workspace];
  const double Seconds = std::max(secondsOf(Used), 1e-6);
  addSample(Queue.MeanSeconds, Seconds);
  addSample(W.MeanSeconds, Seconds);
  const double MaxStart = Queue.VirtualTime + MaxLead * Queue.MeanSeconds;
  const double Start =
      W.Start + (Seconds - secondsOf(Grant.Charged)) / W.Weight;
  W.Start = std::clamp(Start, Queue.VirtualTime, std::max(MaxStart, W.Start));
  if (W.Count > 0)
    Queue.Active.set(Workspace, W.Start);
}

nanoseconds meanSlotTime(const fair_queue &Queue) {
  return timeOf(Queue.MeanSeconds);
}

std::size_t waiting(const fair_queue &Queue) {
  return Queue.Limits.Total - Queue.Free.size();
}

std::size_t waiting(const fair_queue &Queue, workspace_handle Workspace) {
  return known(Queue, Workspace) ? Queue.Workspaces[Workspace.Index].Count : 0;
}

} // namespace magnoliaspread
