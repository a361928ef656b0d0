#include "tokens_p.h"

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxWaitersPerLine = 512;
constexpr milliseconds LeastRetryAfter{50};

} // namespace

token_gate::line &token_gate::lineOf(const std::string &Workspace) {
  const auto Found = Lines.find(Workspace);
  if (Found != Lines.end())
    return Found->second;
  line &Line = Lines[Workspace];
  Line.Limit = workspaceLimit(Workspace);
  return Line;
}

error token_gate::refusal(const line &Line) const {
  return {error_kind::RateLimited, "the workspace's rate is used up",
          std::max(LeastRetryAfter, Line.ExpectedWait)};
}

asio::awaitable<status> token_gate::pass(std::string Workspace,
                                         steady_time Deadline) {
  const steady_time Now = Clock.now();
  line &Line = lineOf(Workspace);
  if (Source.spend(Line.Limit, MilliPerToken, Now)) {
    if (Line.Waiters.empty())
      co_return status{};
    passFirst(Line);
  }
  const steady_time End = std::min(Deadline, Now + MaxTokenWait);
  if (Line.Waiters.size() >= MaxWaitersPerLine || Now + Line.ExpectedWait > End)
    co_return refusal(Line);
  const bool Passed = co_await wait(Line, End);
  if (Passed)
    co_return status{};
  co_return refusal(Line);
}

void token_gate::refund(const std::string &Workspace, steady_time PassedAt) {
  const steady_time Now = Clock.now();
  line &Line = lineOf(Workspace);
  Source.refund(Line.Limit, MilliPerToken, PassedAt, Now);
  if (!Line.Waiters.empty() && Source.retry(Line.Limit, MilliPerToken, Now))
    passFirst(Line);
}

asio::awaitable<bool> token_gate::wait(line &Line, steady_time End) {
  auto Waiter = std::make_shared<waiter>(Context);
  Line.Waiters.push_back(Waiter);
  Source.addWaiting(Line.Limit, MilliPerToken);
  if (OnShortage)
    OnShortage();
  Waiter->Signal.expires_at(End);
  co_await Waiter->Signal.async_wait(Awaited);
  Source.addWaiting(Line.Limit, -MilliPerToken);
  std::erase(Line.Waiters, Waiter);
  co_return Waiter->Passed;
}

void token_gate::passFirst(line &Line) {
  Line.Waiters.front()->Passed = true;
  Line.Waiters.front()->Signal.cancel();
  Line.Waiters.pop_front();
}

void token_gate::publish(const std::vector<token_wait> &Waits) {
  for (auto &[Name, Line] : Lines)
    Line.ExpectedWait = milliseconds(0);
  for (const token_wait &Row : Waits)
    lineOf(Row.Workspace).ExpectedWait = Row.Wait;
}

void token_gate::tick() {
  const steady_time Now = Clock.now();
  for (auto &[Name, Line] : Lines)
    while (!Line.Waiters.empty() &&
           Source.retry(Line.Limit, MilliPerToken, Now))
      passFirst(Line);
}

} // namespace magnoliaspread
