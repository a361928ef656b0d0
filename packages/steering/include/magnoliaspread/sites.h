/// Choice of a site for a client block: by weight, health and cap, stable for
/// each block.
///
/// Weights are kept by profile, apart from the blocks, so that a changed one
/// costs the same at any number of blocks and moves only its proportionate
/// part of them.
#ifndef MAGNOLIASPREAD_SITES_H
#define MAGNOLIASPREAD_SITES_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>

#include <cstdint>
#include <vector>

namespace magnoliaspread {

using site_handle = handle<struct site_tag>;

/// Names a list of site weights that many blocks share.
struct profile_id {
  std::uint8_t Index = 0;

  bool operator==(const profile_id &) const = default;
};

/// Profiles 0 to 254; 255 stands for no profile.
inline constexpr std::size_t MaxProfiles = 255;
inline constexpr profile_id NoProfile{255};

struct site_state {
  bool Present = false;
  bool Healthy = true;
  /// Look-ups a second that this instance may send to the site; 0 is no cap.
  double CapPerSecond = 0;
  /// Look-ups left in the current second at the cap's rate.
  double Credit = 0;
  steady_time RefilledAt;
};

struct site_weight {
  site_handle Site;
  /// Relative to the other sites of the profile; 0 takes no block.
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

/// The site for a block with the key \p BlockKey: the highest weighted
/// rendezvous score among the profile's healthy sites under their caps; one
/// look-up is counted against the site. NoCapacity when there is none,
/// NotFound for an unknown profile.
result<site_handle> chooseSite(site_table &Table, profile_id Profile,
                               std::uint64_t BlockKey, steady_time Now);

/// The site that chooseSite() would name with every cap open; counts nothing.
result<site_handle> preferredSite(const site_table &Table, profile_id Profile,
                                  std::uint64_t BlockKey);

} // namespace magnoliaspread

#endif
