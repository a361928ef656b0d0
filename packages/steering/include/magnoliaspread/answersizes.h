/// Sizes of answers learned for each kind of request.
///
/// The mean and the tail follow the answers of the recent past; what has had no
/// answer for some time isn't believed any more. Does no I/O and reads no
/// clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_ANSWERSIZES_H
#define MAGNOLIASPREAD_ANSWERSIZES_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace magnoliaspread {

struct answer_size_policy {
  /// Smallest weight of a new answer; the first ones weigh more.
  double SampleWeight = 0.1;
  /// Part of the answers that are no larger than the tail.
  double TailPart = 0.95;
  /// A kind without an answer for this long counts as unknown.
  std::chrono::milliseconds Lifetime{120000};
  /// Kinds that are tracked; the one unused for longest makes room.
  std::size_t MaxKinds = 256;
};

struct answer_size {
  /// In bytes.
  double Mean = 0;
  double Tail = 0;
};

class answer_sizes {
public:
  explicit answer_sizes(const answer_size_policy &Policy = {})
      : Policy(Policy) {}

  /// Notes an answer of \p Bytes.
  void note(std::uint64_t Kind, std::size_t Bytes, steady_time Now);

  /// Empty when no answer of the kind is known, or only old ones.
  std::optional<answer_size> find(std::uint64_t Kind, steady_time Now) const;

  std::size_t kinds() const { return Rows.size(); }

private:
  struct row {
    answer_size Size;
    std::uint32_t Samples = 0;
    steady_time NotedAt;
  };

  void makeRoom();

  answer_size_policy Policy;
  std::unordered_map<std::uint64_t, row> Rows;
};

} // namespace magnoliaspread

#endif
