#include <magnoliaspread/purse.h>

#include <algorithm>
#include <utility>

namespace magnoliaspread {

bool purse::spend(limit_id Limit, milli_tokens Tokens, steady_time Now,
                  spend_attempt Attempt) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  if (Found == Slots.end())
    return false;
  purse_offer &Offer = Found->second.Offer;
  purse_report &Report = Found->second.Report;
  if (Attempt == spend_attempt::First)
    Report.Wanted += Tokens;
  const milli_tokens Borrowed =
      Now < Offer.BorrowedExpires ? Offer.Borrowed : 0;
  const milli_tokens Own = Now < Offer.OwnExpires ? Offer.Own : 0;
  if (Borrowed + Own < Tokens) {
    Report.Refused += Tokens;
    return false;
  }
  const milli_tokens FromBorrowed = std::min(Borrowed, Tokens);
  Offer.Borrowed -= FromBorrowed;
  Report.SpentBorrowed += FromBorrowed;
  Offer.Own -= Tokens - FromBorrowed;
  Report.SpentOwn += Tokens - FromBorrowed;
  return true;
}

purse_report purse::collect(limit_id Limit) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Limit);
  if (Found == Slots.end())
    return {};
  Found->second.Offer = {};
  return std::exchange(Found->second.Report, {});
}

void purse::offer(limit_id Limit, const purse_offer &Offer) {
  const std::lock_guard Lock(Mutex);
  Slots[Limit].Offer = Offer;
}

} // namespace magnoliaspread
