#include <magnoliaspread/plan.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

std::uint32_t cutPpm(const share_cut &Cut, std::uint16_t Index) {
  if (Index >= Cut.Shares)
    return 0;
  return Cut.Permille * PpmPerPermille / Cut.Shares;
}

} // namespace

void share_plan::apply(const share_cut &Cut) {
  if (Cut.Version <= version())
    return;
  if (Cuts.empty())
    FirstVersion = Cut.Version;
  Cuts.push_back(Cut);
}

void share_plan::confirmEverywhere(std::uint64_t Version, steady_time Now) {
  if (Version <= ConfirmedVersion)
    return;
  if (!Pending.empty() && Version <= Pending.back().Version)
    return;
  Pending.push_back({Version, Now});
}

void share_plan::settle(steady_time Now) {
  while (!Pending.empty() && Now >= Pending.front().At + TokenLife) {
    ConfirmedVersion = Pending.front().Version;
    Pending.erase(Pending.begin());
  }
  while (Cuts.size() > 1 && Cuts[1].Version <= ConfirmedVersion)
    Cuts.erase(Cuts.begin());
}

std::uint32_t share_plan::fractionPpm(std::uint16_t Index,
                                      std::uint32_t RecordedPpm) const {
  if (Cuts.empty())
    return 0;
  std::uint32_t Lowest = cutPpm(Cuts.front(), Index);
  for (const share_cut &Cut : Cuts)
    Lowest = std::min(Lowest, cutPpm(Cut, Index));
  if (ConfirmedVersion < FirstVersion)
    Lowest = std::min(Lowest, RecordedPpm);
  return Lowest;
}

std::uint32_t share_plan::shares() const {
  std::uint32_t Most = 0;
  for (const share_cut &Cut : Cuts)
    Most = std::max(Most, Cut.Shares);
  return Most;
}

std::uint64_t share_plan::version() const {
  return Cuts.empty() ? 0 : Cuts.back().Version;
}

} // namespace magnoliaspread
