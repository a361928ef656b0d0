#include <magnoliaspread/crossing.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

constexpr double Megabyte = 1e6;

nanoseconds price(milliseconds PerMegabyte, double Bytes) {
  return duration_cast<nanoseconds>(duration<double>(PerMegabyte) *
                                    (Bytes / Megabyte));
}

double ratio(nanoseconds A, nanoseconds B) {
  return static_cast<double>(A.count()) / static_cast<double>(B.count());
}

} // namespace

void crossing::noteAnswer(std::uint64_t Kind, std::size_t Bytes,
                          target_distance Distance, steady_time Now) {
  Counts.AnswerBytes[static_cast<std::size_t>(Distance)] += Bytes;
  if (enabled())
    Sizes.note(Kind, Bytes, Now);
}

crossing_price crossing::priceOf(std::uint64_t Kind, std::size_t BodyBytes,
                                 steady_time Now) const {
  if (!enabled())
    return {};
  const answer_size Answer = Sizes.find(Kind, Now).value_or(answer_size());
  const double Bytes = static_cast<double>(BodyBytes) + Answer.Mean;
  return {{nanoseconds(0), price(Costs.DataCentre, Bytes),
           price(Costs.Region, Bytes)}};
}

double distanceStrength(nanoseconds Price, nanoseconds Margin) {
  if (Price.count() <= 0)
    return 0;
  return Price >= Margin ? 1 : ratio(Price, Margin);
}

bool addsNearHolder(nanoseconds Price, nanoseconds Extra,
                    std::uint64_t Random) {
  if (Price.count() <= 0)
    return false;
  if (Price >= Extra)
    return true;
  constexpr double Range = 18446744073709551616.0;
  return static_cast<double>(Random) / Range < ratio(Price, Extra);
}

} // namespace magnoliaspread
