#include <magnoliaspread/plan.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

std::uint32_t splitPpm(const share_split &Split, std::uint16_t Index) {
  if (Index >= Split.Shares)
    return 0;
  return Split.Permille * PpmPerPermille / Split.Shares;
}

} // namespace

void share_plan::apply(const share_split &Split) {
  if (Split.Version <= version())
    return;
  if (Splits.empty())
    FirstVersion = Split.Version;
  Splits.push_back(Split);
}

void share_plan::confirmEverywhere(std::uint64_t Version, steady_time Now) {
  if (Version <= ConfirmedVersion)
    return;
  if (!PendingConfirmations.empty() &&
      Version <= PendingConfirmations.back().Version)
    return;
  PendingConfirmations.push_back({Version, Now});
}

void share_plan::pruneSplits(steady_time Now) {
  while (!PendingConfirmations.empty() &&
         Now >= PendingConfirmations.front().At + TokenLife) {
    ConfirmedVersion = PendingConfirmations.front().Version;
    PendingConfirmations.erase(PendingConfirmations.begin());
  }
  while (Splits.size() > 1 && Splits[1].Version <= ConfirmedVersion)
    Splits.erase(Splits.begin());
}

std::uint32_t share_plan::fractionPpm(std::uint16_t Index,
                                      std::uint32_t RecordedPpm) const {
  if (Splits.empty())
    return 0;
  std::uint32_t Lowest = splitPpm(Splits.front(), Index);
  for (const share_split &Split : Splits)
    Lowest = std::min(Lowest, splitPpm(Split, Index));
  if (ConfirmedVersion < FirstVersion)
    Lowest = std::min(Lowest, RecordedPpm);
  return Lowest;
}

std::uint32_t share_plan::shares() const {
  std::uint32_t MaxShares = 0;
  for (const share_split &Split : Splits)
    MaxShares = std::max(MaxShares, Split.Shares);
  return MaxShares;
}

std::uint64_t share_plan::version() const {
  return Splits.empty() ? 0 : Splits.back().Version;
}

} // namespace magnoliaspread
