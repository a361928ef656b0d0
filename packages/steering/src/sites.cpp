#include <magnoliaspread/sites.h>

#include <magnoliaspread/config.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <bitset>
#include <chrono>
#include <cmath>

namespace magnoliaspread {

namespace {

using site_mask = std::bitset<MaxSites>;

/// Spreads site indexes over the 64-bit ids of the rendezvous hash.
constexpr std::uint64_t SiteIdStep = 0xD6E8FEB86659FD93ULL;

double validWeight(double Weight) {
  return std::isfinite(Weight) && Weight > 0 ? Weight : 0;
}

/// Weighted rendezvous score; the lowest is best. The fraction of the blocks
/// for which a site is best is proportionate to its weight.
double scoreOf(std::uint64_t BlockKey, const site_weight &Row) {
  const std::uint64_t Bits =
      rendezvousScore(BlockKey, (Row.Site.Index + 1) * SiteIdStep);
  const double Uniform = (static_cast<double>(Bits >> 11) + 0.5) * 0x1.0p-53;
  return -std::log(Uniform) / Row.Weight;
}

/// The best site of a profile outside \p Excluded; invalid when none is left.
site_handle bestSite(const site_table &Table, profile_id Profile,
                     std::uint64_t BlockKey, const site_mask &Excluded) {
  site_handle Best;
  double BestScore = HUGE_VAL;
  for (const site_weight &Row : Table.Profiles[Profile.Index]) {
    if (Row.Weight <= 0 || Excluded[Row.Site.Index] ||
        !Table.Sites[Row.Site.Index].Healthy)
      continue;
    const double Score = scoreOf(BlockKey, Row);
    if (Score < BestScore) {
      Best = Row.Site;
      BestScore = Score;
    }
  }
  return Best;
}

void refill(site_state &Site, steady_time Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - Site.RefilledAt).count();
  if (Seconds <= 0)
    return;
  const double Credit = Site.Credit + Seconds * Site.CapPerSecond;
  Site.Credit = std::min(Credit, std::max(Site.CapPerSecond, 1.0));
  Site.RefilledAt = Now;
}

bool spendToken(site_state &Site, steady_time Now) {
  if (Site.CapPerSecond <= 0)
    return true;
  refill(Site, Now);
  if (Site.Credit < 1)
    return false;
  Site.Credit -= 1;
  return true;
}

error unknownProfile() {
  return {error_kind::NotFound, "the block's profile has no weights", {}};
}

error noSite() {
  return {error_kind::NoCapacity, "no healthy site under its cap", {}};
}

} // namespace

status setSite(site_table &Table, site_handle Site, double CapPerSecond,
               steady_time Now) {
  if (Site.Index >= MaxSites)
    return error{error_kind::BadTable,
                 "site " + std::to_string(Site.Index) +
                     " past the capacity of " + std::to_string(MaxSites),
                 {}};
  if (Site.Index >= Table.Sites.size())
    Table.Sites.resize(Site.Index + 1U);
  site_state &State = Table.Sites[Site.Index];
  if (State.Present)
    refill(State, Now);
  State.Present = true;
  State.CapPerSecond = validWeight(CapPerSecond);
  State.Credit = std::min(State.Credit, State.CapPerSecond);
  State.RefilledAt = Now;
  return {};
}

void setSiteHealth(site_table &Table, site_handle Site, bool Healthy) {
  if (Site.Index < Table.Sites.size())
    Table.Sites[Site.Index].Healthy = Healthy;
}

status setSiteWeight(site_table &Table, profile_id Profile, site_handle Site,
                     double Weight) {
  if (Profile.Index >= MaxProfiles)
    return error{error_kind::BadTable, "profile past the capacity", {}};
  if (Site.Index >= Table.Sites.size() || !Table.Sites[Site.Index].Present)
    return error{error_kind::BadTable, "weight of an unknown site", {}};
  if (Profile.Index >= Table.Profiles.size())
    Table.Profiles.resize(Profile.Index + 1U);
  for (site_weight &Row : Table.Profiles[Profile.Index]) {
    if (Row.Site == Site) {
      Row.Weight = validWeight(Weight);
      return {};
    }
  }
  Table.Profiles[Profile.Index].push_back({Site, validWeight(Weight)});
  return {};
}

result<site_handle> chooseSite(site_table &Table, profile_id Profile,
                               std::uint64_t BlockKey, steady_time Now) {
  if (Profile.Index >= Table.Profiles.size())
    return unknownProfile();
  site_mask AtCap;
  for (;;) {
    const site_handle Site = bestSite(Table, Profile, BlockKey, AtCap);
    if (!Site.valid())
      return noSite();
    if (spendToken(Table.Sites[Site.Index], Now))
      return Site;
    AtCap.set(Site.Index);
  }
}

result<site_handle> preferredSite(const site_table &Table, profile_id Profile,
                                  std::uint64_t BlockKey) {
  if (Profile.Index >= Table.Profiles.size())
    return unknownProfile();
  const site_handle Site = bestSite(Table, Profile, BlockKey, {});
  if (!Site.valid())
    return noSite();
  return Site;
}

} // namespace magnoliaspread
