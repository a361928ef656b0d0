/// Fraction of every limit that one share of a data centre mints while several
/// versions of the configuration are in force in the fleet.
#ifndef MAGNOLIASPREAD_PLAN_H
#define MAGNOLIASPREAD_PLAN_H

#include <magnoliaspread/clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

inline constexpr std::uint32_t PpmPerPermille = 1000;

/// How a data centre's part is cut in one version of the configuration.
struct share_cut {
  std::uint64_t Version = 0;
  std::uint32_t Permille = 0;
  std::uint32_t Shares = 0;
};

/// Decreases count at once. An increase counts only after every instance has
/// the version in force and the tokens of the former cut have expired.
class share_plan {
public:
  explicit share_plan(std::chrono::milliseconds TokenLife)
      : TokenLife(TokenLife) {}

  /// Puts a newer version in force here; others are ignored.
  void apply(const share_cut &Cut);

  /// Every instance has \p Version or a newer one in force.
  void confirmEverywhere(std::uint64_t Version, steady_time Now);

  /// Drops cuts that can't be in force anywhere any more.
  void settle(steady_time Now);

  /// Part of a limit for share \p Index in parts per million. \p RecordedPpm is
  /// what the lease record allowed the former holder; it bounds the result
  /// until the history before this process started is known to be over.
  std::uint32_t fractionPpm(std::uint16_t Index,
                            std::uint32_t RecordedPpm) const;

  /// Shares that any unconfirmed version counts.
  std::uint32_t shares() const;

  /// Version in force here; 0 before the first.
  std::uint64_t version() const;

private:
  struct pending_confirmation {
    std::uint64_t Version;
    steady_time At;
  };

  std::chrono::milliseconds TokenLife;
  /// Oldest that may still be in force somewhere first.
  std::vector<share_cut> Cuts;
  std::vector<pending_confirmation> Pending;
  std::uint64_t FirstVersion = 0;
  std::uint64_t ConfirmedVersion = 0;
};

} // namespace magnoliaspread

#endif
