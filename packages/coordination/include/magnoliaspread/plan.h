/// Fraction of every limit that one share of a data centre mints, also while
/// instances have different versions of the configuration in force.
#ifndef MAGNOLIASPREAD_PLAN_H
#define MAGNOLIASPREAD_PLAN_H

#include <magnoliaspread/clock.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

inline constexpr std::uint32_t PpmPerPermille = 1000;

/// A data centre's part of every limit, and the number of equal shares that it
/// is split into, in one version of the configuration.
struct share_split {
  std::uint64_t Version = 0;
  std::uint32_t Permille = 0;
  std::uint32_t Shares = 0;
};

/// A decrease applies immediately. An increase applies only after every
/// instance has the version in force and the tokens of the former split have
/// expired.
class share_plan {
public:
  explicit share_plan(std::chrono::milliseconds TokenLife)
      : TokenLife(TokenLife) {}

  /// Activates a newer version on this instance; others are ignored.
  void apply(const share_split &Split);

  /// Reports that every instance has \p Version or a newer one in force.
  void confirmEverywhere(std::uint64_t Version, steady_time Now);

  /// Removes splits that can no longer be in force anywhere.
  void pruneSplits(steady_time Now);

  /// Fraction of a limit for share \p Index in parts per million.
  /// \p RecordedPpm is what the lease record allowed the former holder; it
  /// bounds the result until no version from before the start of this process
  /// can be in force.
  std::uint32_t fractionPpm(std::uint16_t Index,
                            std::uint32_t RecordedPpm) const;

  /// Highest number of shares in any version that may be in force.
  std::uint32_t shares() const;

  /// Version in force on this instance; 0 before the first.
  std::uint64_t version() const;

private:
  struct pending_confirmation {
    std::uint64_t Version;
    steady_time At;
  };

  std::chrono::milliseconds TokenLife;
  /// Versions that may be in force somewhere, oldest first.
  std::vector<share_split> Splits;
  std::vector<pending_confirmation> PendingConfirmations;
  std::uint64_t FirstVersion = 0;
  std::uint64_t ConfirmedVersion = 0;
};

} // namespace magnoliaspread

#endif
