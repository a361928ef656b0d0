#include <magnoliaspread/purse.h>

#include <algorithm>

namespace magnoliaspread {

bool purse::spend(limit_id Limit, milli_tokens Tokens, steady_time Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  if (Found == Slots.end())
    return false;
  purse_slot &Slot = Found->second;
  Slot.Report.Wanted += Tokens;
  if (take(Slot, Tokens, Now))
    return true;
  Slot.Report.Missed += Tokens;
  return false;
}

bool purse::retry(limit_id Limit, milli_tokens Tokens, steady_time Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  return Found != Slots.end() && take(Found->second, Tokens, Now);
}

void purse::addWaiting(limit_id Limit, milli_tokens Tokens) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  if (Found == Slots.end())
    return;
  milli_tokens &Waiting = Found->second.Report.Waiting;
  Waiting = std::max<milli_tokens>(0, Waiting + Tokens);
}

bool purse::take(purse_slot &Slot, milli_tokens Tokens, steady_time Now) {
  purse_offer &Offer = Slot.Offer;
  const milli_tokens Borrowed =
      Now < Offer.BorrowedExpires ? Offer.Borrowed : 0;
  const milli_tokens Own = Now < Offer.OwnExpires ? Offer.Own : 0;
  if (Borrowed + Own < Tokens)
    return false;
  const milli_tokens FromBorrowed = std::min(Borrowed, Tokens);
  Offer.Borrowed -= FromBorrowed;
  Slot.Report.SpentBorrowed += FromBorrowed;
  Offer.Own -= Tokens - FromBorrowed;
  Slot.Report.SpentOwn += Tokens - FromBorrowed;
  return true;
}

purse_report purse::collect(limit_id Limit) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  if (Found == Slots.end())
    return {};
  purse_slot &Slot = Found->second;
  Slot.Offer = {};
  const purse_report Report = Slot.Report;
  Slot.Report = {};
  Slot.Report.Waiting = Report.Waiting;
  return Report;
}

void purse::offer(limit_id Limit, const purse_offer &Offer) {
  const std::lock_guard Lock(Mutex);
  Slots[Limit].Offer = Offer;
}

} // namespace magnoliaspread
