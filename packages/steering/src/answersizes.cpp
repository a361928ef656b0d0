#include <magnoliaspread/answersizes.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

/// Step of the tail towards its quantile, in powers of e. Steps are relative,
/// since sizes of kinds differ by orders of magnitude.
constexpr double TailStep = 0.2;
constexpr std::uint32_t SamplesCounted = 1000;

} // namespace

void answer_sizes::makeRoom() {
  const auto Oldest = std::min_element(
      Rows.begin(), Rows.end(), [](const auto &A, const auto &B) {
        return A.second.NotedAt < B.second.NotedAt;
      });
  if (Oldest != Rows.end())
    Rows.erase(Oldest);
}

void answer_sizes::note(std::uint64_t Kind, std::size_t Bytes,
                        steady_time Now) {
  if (Rows.size() >= Policy.MaxKinds && !Rows.contains(Kind))
    makeRoom();
  row &Row = Rows[Kind];
  if (Row.Samples > 0 && Now - Row.NotedAt >= Policy.Lifetime)
    Row = row();
  Row.NotedAt = Now;
  Row.Samples = std::min(Row.Samples + 1, SamplesCounted);
  const auto Size = static_cast<double>(Bytes);
  if (Row.Samples == 1) {
    Row.Size = {Size, Size};
    return;
  }
  Row.Size.Mean +=
      (Size - Row.Size.Mean) * std::max(Policy.SampleWeight, 1.0 / Row.Samples);
  const double Step =
      Size > Row.Size.Tail ? Policy.TailPart : Policy.TailPart - 1;
  Row.Size.Tail = std::max(1.0, Row.Size.Tail * std::exp(TailStep * Step));
}

std::optional<answer_size> answer_sizes::find(std::uint64_t Kind,
                                              steady_time Now) const {
  const auto Found = Rows.find(Kind);
  if (Found == Rows.end() || Now - Found->second.NotedAt >= Policy.Lifetime)
    return std::nullopt;
  return Found->second.Size;
}

} // namespace magnoliaspread
