#include <magnoliaspread/returntimes.h>

#include "placermath_p.h"

#include <algorithm>

namespace magnoliaspread {

namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Steps of an even sequence within a slice.
constexpr std::uint32_t Stride = 7;
constexpr std::uint32_t Steps = 16;

} // namespace

std::int64_t return_times::sliceOf(steady_time At) const {
  return At.time_since_epoch() / Policy.Slice;
}

void return_times::advance(time_line &Line, std::int64_t Current) {
  const auto Count = static_cast<std::int64_t>(Slices);
  if (Current - Line.First >= Count) {
    Line.Reserved.fill(0);
    Line.First = Current;
  }
  for (; Line.First < Current; ++Line.First)
    Line.Reserved[static_cast<std::size_t>(Line.First % Count)] = 0;
}

milliseconds return_times::reserve(const return_query &Query, steady_time Now) {
  if (Query.Service.Index >= Lines.size())
    Lines.resize(Query.Service.Index + 1U);
  time_line &Line = Lines[Query.Service.Index];
  const std::int64_t Current = sliceOf(Now);
  advance(Line, Current);
  const auto Latest = duration_cast<milliseconds>(
      std::max(duration<double>(0), Query.Left * Policy.LeftPart));
  const milliseconds Earliest =
      std::min(Latest, std::max(Policy.Least,
                                duration_cast<milliseconds>(Query.UntilRoom)));
  const std::int64_t Last = std::min(
      sliceOf(Now + Latest), Current + static_cast<std::int64_t>(Slices) - 1);
  const std::int64_t From = std::min(sliceOf(Now + Earliest), Last);
  const double Capacity = Query.FreeSlots * seconds(Policy.Slice) *
                          (Query.Preferred ? 1 : 1 - Policy.PreferredPart);
  const auto At = [&](std::int64_t Number) -> double & {
    return Line.Reserved[static_cast<std::size_t>(Number) % Slices];
  };
  std::int64_t Best = From;
  for (std::int64_t Number = From; Number <= Last; ++Number) {
    // Requests longer than a slice's capacity share it by turns.
    if (At(Number) < Capacity) {
      Best = Number;
      break;
    }
    if (At(Number) < At(Best))
      Best = Number;
  }
  At(Best) += Query.SlotTime.count();
  // What exceeds the slice's capacity fills the next ones.
  double Excess = std::min(Query.SlotTime.count(), At(Best) - Capacity);
  for (std::int64_t Number = Best + 1;
       Capacity > 0 && Excess > 0 && Number <= Last; ++Number) {
    const double Part = std::clamp(Capacity - At(Number), 0.0, Excess);
    At(Number) += Part;
    At(Best) -= Part;
    Excess -= Part;
  }
  Line.Draws += Stride;
  const auto Within = duration_cast<steady_time::duration>(Policy.Slice) *
                      (Line.Draws % Steps) / Steps;
  const steady_time Return =
      steady_time(duration_cast<steady_time::duration>(Policy.Slice) * Best) +
      Within;
  return std::clamp(std::chrono::ceil<milliseconds>(Return - Now), Earliest,
                    Latest);
}

double return_times::returning(service_handle Service, steady_time At) const {
  if (Service.Index >= Lines.size())
    return 0;
  const time_line &Line = Lines[Service.Index];
  const std::int64_t Number = sliceOf(At);
  if (Number < Line.First ||
      Number >= Line.First + static_cast<std::int64_t>(Slices))
    return 0;
  return Line.Reserved[static_cast<std::size_t>(Number) % Slices] /
         seconds(Policy.Slice);
}

} // namespace magnoliaspread
