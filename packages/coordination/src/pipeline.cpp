#include <magnoliaspread/pipeline.h>

#include <algorithm>

namespace magnoliaspread {

bool pipeline::mayRead() const {
  if (Closed)
    return false;
  if (Rows.empty())
    return true;
  return Rows.size() < Limits.Requests &&
         Rows.back().Order == pipeline_order::Concurrent && hasRoomForAnswer();
}

bool pipeline::hasRoomForAnswer() const {
  std::size_t Sum = LargestAnswer;
  for (const row &Row : Rows)
    Sum += Row.Bytes.value_or(LargestAnswer);
  return Sum <= Limits.Bytes;
}

std::uint64_t pipeline::add(pipeline_order Order) {
  Rows.push_back({Order, std::nullopt});
  return First + Rows.size() - 1;
}

bool pipeline::mayStart(std::uint64_t Number) const {
  return Number == First ||
         Rows.at(Number - First).Order == pipeline_order::Concurrent;
}

void pipeline::answered(std::uint64_t Number, std::size_t Bytes) {
  Rows.at(Number - First).Bytes = Bytes;
  LargestAnswer = std::max(LargestAnswer, Bytes);
}

std::optional<std::uint64_t> pipeline::nextAnswer() const {
  if (Rows.empty() || !Rows.front().Bytes)
    return std::nullopt;
  return First;
}

void pipeline::written() {
  Rows.pop_front();
  ++First;
}

} // namespace magnoliaspread
