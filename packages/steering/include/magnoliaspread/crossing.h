/// The cost of bytes that cross data centres and regions, as time that a caller
/// may wait rather than cross.
///
/// Answers have the mean size of their kind. All results are zero unless costs
/// are configured. Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_CROSSING_H
#define MAGNOLIASPREAD_CROSSING_H

#include <magnoliaspread/answersizes.h>
#include <magnoliaspread/clock.h>
#include <magnoliaspread/targetdistance.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnoliaspread {

/// Costs per megabyte (1,000,000 bytes) of request and answer.
struct crossing_costs {
  /// Between data centres of a region.
  std::chrono::milliseconds DataCentre{0};
  std::chrono::milliseconds Region{0};

  bool any() const { return DataCentre.count() > 0 || Region.count() > 0; }
};

/// What the expected bytes of one request cost.
struct crossing_price {
  std::array<std::chrono::nanoseconds, TargetDistances> ByDistance{};

  std::chrono::nanoseconds at(target_distance Distance) const {
    return ByDistance[static_cast<std::size_t>(Distance)];
  }
};

/// Since the start, for the metrics.
struct crossing_counts {
  /// Answers by distance of their target, in bytes.
  std::array<std::uint64_t, TargetDistances> AnswerBytes{};
  /// Holders added because their object's answers crossed.
  std::uint64_t NearHolders = 0;

  std::uint64_t bytesFrom(target_distance Distance) const {
    return AnswerBytes[static_cast<std::size_t>(Distance)];
  }
};

class crossing {
public:
  explicit crossing(const crossing_costs &Costs) : Costs(Costs) {}

  bool enabled() const { return Costs.any(); }

  /// Notes an answer of \p Bytes from a target at \p Distance.
  void noteAnswer(std::uint64_t Kind, std::size_t Bytes,
                  target_distance Distance, steady_time Now);
  void noteNearHolder() { ++Counts.NearHolders; }

  /// The price of a request with a body of \p BodyBytes.
  crossing_price priceOf(std::uint64_t Kind, std::size_t BodyBytes,
                         steady_time Now) const;

  const crossing_counts &counts() const { return Counts; }
  const answer_sizes &sizes() const { return Sizes; }

private:
  crossing_costs Costs;
  answer_sizes Sizes;
  crossing_counts Counts;
};

/// How far the weights by distance move from those of small requests (0) to
/// those of large ones (1), at which \p Price reaches \p Margin.
double distanceStrength(std::chrono::nanoseconds Price,
                        std::chrono::nanoseconds Margin);

/// Whether a request that crosses at \p Price adds a holder nearby, by a draw
/// from its 64 uniform bits \p Random.
///
/// A cold run takes \p Extra longer than a warm one. The probability is such
/// that crossings costing as much are expected before. It needs no counts, so
/// it is the same for any number of instances that share the requests.
bool addsNearHolder(std::chrono::nanoseconds Price,
                    std::chrono::nanoseconds Extra, std::uint64_t Random);

} // namespace magnoliaspread

#endif
