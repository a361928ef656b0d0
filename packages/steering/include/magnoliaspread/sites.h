/// Choice of a site for a client block by weight, health and cap; stable for
/// each block.
///
/// Weights are stored by profile, apart from the blocks. The cost of a weight
/// change doesn't depend on the number of blocks, and it moves only the
/// proportionate fraction of them.
#ifndef MAGNOLIASPREAD_SITES_H
#define MAGNOLIASPREAD_SITES_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>

#include <cstdint>
#include <vector>

namespace magnoliaspread {

using site_handle = handle<struct site_tag>;

/// Identifies a list of site weights that many blocks share.
struct profile_id {
  std::uint8_t Index = 0;

  bool operator==(const profile_id &) const = default;
};

/// Profiles 0 to 254; 255 is no profile.
inline constexpr std::size_t MaxProfiles = 255;
inline constexpr profile_id NoProfile{255};

struct site_state {
  bool Present = false;
  bool Healthy = true;
  /// Lookups a second that this instance may direct to the site; 0 is no cap.
  double CapPerSecond = 0;
  /// Tokens of a token bucket that is refilled at the cap's rate.
  double Credit = 0;
  steady_time RefilledAt;
};

struct site_weight {
  site_handle Site;
  /// Relative to the other sites of the profile; 0 gets no block.
  double Weight = 0;
};

struct site_table {
  std::vector<site_state> Sites;
  /// Weights by profile.
  std::vector<std::vector<site_weight>> Profiles;
};

/// Adds a site or changes its cap; BadTable past MaxSites.
status setSite(site_table &Table, site_handle Site, double CapPerSecond,
               steady_time Now);

void setSiteHealth(site_table &Table, site_handle Site, bool Healthy);

/// Sets one weight of one profile; negative and non-finite ones count as 0.
/// BadTable past MaxProfiles or for an unknown site.
status setSiteWeight(site_table &Table, profile_id Profile, site_handle Site,
                     double Weight);

/// The site for a block with the key \p BlockKey: the best weighted rendezvous
/// score among the profile's healthy sites under their caps. Counts one lookup
/// against the site. NoCapacity when there is none, NotFound for an unknown
/// profile.
result<site_handle> chooseSite(site_table &Table, profile_id Profile,
                               std::uint64_t BlockKey, steady_time Now);

/// The site that chooseSite() would return without caps; counts nothing.
result<site_handle> preferredSite(const site_table &Table, profile_id Profile,
                                  std::uint64_t BlockKey);

} // namespace magnoliaspread

#endif
