#include "tokens_p.h"

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxWaitersPerWorkspace = 512;
constexpr milliseconds MinRetryAfter{50};

} // namespace

token_gate::wait_queue &token_gate::queueOf(const std::string &Workspace) {
  const auto Found = Queues.find(Workspace);
  if (Found != Queues.end())
    return Found->second;
  wait_queue &Queue = Queues[Workspace];
  Queue.Limit = workspaceLimit(Workspace);
  return Queue;
}

error token_gate::refusal(const wait_queue &Queue) const {
  return {error_kind::RateLimited, "the workspace's rate is used up",
          std::max(MinRetryAfter, Queue.ExpectedWait)};
}

asio::awaitable<status> token_gate::acquire(std::string Workspace,
                                            steady_time Deadline) {
  const steady_time Now = Clock.now();
  wait_queue &Queue = queueOf(Workspace);
  if (Source.spend(Queue.Limit, MilliPerToken, Now)) {
    if (Queue.Waiters.empty())
      co_return status{};
    admitFirst(Queue);
  }
  const steady_time End = std::min(Deadline, Now + MaxTokenWait);
  if (Queue.Waiters.size() >= MaxWaitersPerWorkspace ||
      Now + Queue.ExpectedWait > End)
    co_return refusal(Queue);
  const bool Passed = co_await wait(Queue, End);
  if (Passed)
    co_return status{};
  co_return refusal(Queue);
}

void token_gate::refund(const std::string &Workspace, steady_time PassedAt) {
  const steady_time Now = Clock.now();
  wait_queue &Queue = queueOf(Workspace);
  Source.refund(Queue.Limit, MilliPerToken, PassedAt, Now);
  if (!Queue.Waiters.empty() && Source.retry(Queue.Limit, MilliPerToken, Now))
    admitFirst(Queue);
}

asio::awaitable<bool> token_gate::wait(wait_queue &Queue, steady_time End) {
  auto Waiter = std::make_shared<waiter>(Context);
  Queue.Waiters.push_back(Waiter);
  Source.addWaiting(Queue.Limit, MilliPerToken);
  if (OnShortage)
    OnShortage();
  Waiter->Signal.expires_at(End);
  co_await Waiter->Signal.async_wait(Awaited);
  Source.addWaiting(Queue.Limit, -MilliPerToken);
  std::erase(Queue.Waiters, Waiter);
  co_return Waiter->Passed;
}

void token_gate::admitFirst(wait_queue &Queue) {
  Queue.Waiters.front()->Passed = true;
  Queue.Waiters.front()->Signal.cancel();
  Queue.Waiters.pop_front();
}

void token_gate::publish(const std::vector<token_wait> &Waits) {
  for (auto &[Name, Queue] : Queues)
    Queue.ExpectedWait = milliseconds(0);
  for (const token_wait &Row : Waits)
    queueOf(Row.Workspace).ExpectedWait = Row.Wait;
}

void token_gate::tick() {
  const steady_time Now = Clock.now();
  for (auto &[Name, Queue] : Queues)
    while (!Queue.Waiters.empty() &&
           Source.retry(Queue.Limit, MilliPerToken, Now))
      admitFirst(Queue);
}

} // namespace magnoliaspread
