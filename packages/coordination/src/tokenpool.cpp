#include <magnoliaspread/tokenpool.h>

#include <algorithm>

namespace magnoliaspread {

bool token_pool::spend(limit_id Limit, milli_tokens Tokens, steady_time Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Limit);
  if (Found == Entries.end())
    return false;
  limit_entry &Entry = Found->second;
  Entry.Report.Attempted += Tokens;
  if (trySpend(Entry, Tokens, Now))
    return true;
  Entry.Report.Denied += Tokens;
  return false;
}

bool token_pool::retry(limit_id Limit, milli_tokens Tokens, steady_time Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Limit);
  return Found != Entries.end() && trySpend(Found->second, Tokens, Now);
}

void token_pool::addWaiting(limit_id Limit, milli_tokens Tokens) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Limit);
  if (Found == Entries.end())
    return;
  milli_tokens &Waiting = Found->second.Report.Waiting;
  Waiting = std::max<milli_tokens>(0, Waiting + Tokens);
}

bool token_pool::trySpend(limit_entry &Entry, milli_tokens Tokens,
                          steady_time Now) {
  spendable_tokens &Spendable = Entry.Spendable;
  const milli_tokens Borrowed =
      Now < Spendable.BorrowedExpires ? Spendable.Borrowed : 0;
  const milli_tokens Own = Now < Spendable.OwnExpires ? Spendable.Own : 0;
  if (Borrowed + Own < Tokens)
    return false;
  const milli_tokens FromBorrowed = std::min(Borrowed, Tokens);
  Spendable.Borrowed -= FromBorrowed;
  Entry.Report.SpentBorrowed += FromBorrowed;
  Spendable.Own -= Tokens - FromBorrowed;
  Entry.Report.SpentOwn += Tokens - FromBorrowed;
  return true;
}

spending_report token_pool::withdraw(limit_id Limit) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Entries.find(Limit);
  if (Found == Entries.end())
    return {};
  limit_entry &Entry = Found->second;
  Entry.Spendable = {};
  const spending_report Report = Entry.Report;
  Entry.Report = {};
  Entry.Report.Waiting = Report.Waiting;
  return Report;
}

void token_pool::setAvailable(limit_id Limit,
                              const spendable_tokens &Spendable) {
  const std::lock_guard Lock(Mutex);
  Entries[Limit].Spendable = Spendable;
}

} // namespace magnoliaspread
