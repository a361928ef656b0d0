/// Binary min-heap of small integer ids; any member can be found in O(1) and
/// changed or removed in O(log n).
#ifndef MAGNOLIASPREAD_INDEXHEAP_H
#define MAGNOLIASPREAD_INDEXHEAP_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace magnoliaspread {

/// Contains each id below its capacity at most once. \p Key needs operator<.
template <class Key> class index_heap {
public:
  explicit index_heap(std::size_t Capacity)
      : Positions(Capacity, Absent), Keys(Capacity) {
    Ids.reserve(Capacity);
  }

  bool empty() const { return Ids.empty(); }
  std::size_t size() const { return Ids.size(); }
  bool contains(std::uint32_t Id) const { return Positions[Id] != Absent; }
  std::uint32_t top() const { return Ids.front(); }
  const Key &keyOf(std::uint32_t Id) const { return Keys[Id]; }
  /// Members in unspecified order.
  const std::vector<std::uint32_t> &members() const { return Ids; }

  /// Adds \p Id, or changes its key.
  void set(std::uint32_t Id, const Key &Value) {
    Keys[Id] = Value;
    if (!contains(Id)) {
      Positions[Id] = static_cast<std::uint32_t>(Ids.size());
      Ids.push_back(Id);
    }
    siftDown(siftUp(Positions[Id]));
  }

  /// Does nothing for an absent id.
  void remove(std::uint32_t Id) {
    if (!contains(Id))
      return;
    const std::uint32_t Position = Positions[Id];
    swapPositions(Position, static_cast<std::uint32_t>(Ids.size() - 1));
    Ids.pop_back();
    Positions[Id] = Absent;
    if (Position < Ids.size())
      siftDown(siftUp(Position));
  }

private:
  static constexpr std::uint32_t Absent =
      std::numeric_limits<std::uint32_t>::max();

  void swapPositions(std::uint32_t A, std::uint32_t B) {
    std::swap(Ids[A], Ids[B]);
    Positions[Ids[A]] = A;
    Positions[Ids[B]] = B;
  }

  bool less(std::uint32_t A, std::uint32_t B) const {
    return Keys[Ids[A]] < Keys[Ids[B]];
  }

  std::uint32_t siftUp(std::uint32_t Position) {
    while (Position > 0 && less(Position, (Position - 1) / 2)) {
      swapPositions(Position, (Position - 1) / 2);
      Position = (Position - 1) / 2;
    }
    return Position;
  }

  void siftDown(std::uint32_t Position) {
    for (;;) {
      std::uint32_t Smallest = Position;
      for (std::uint32_t Child = 2 * Position + 1; Child <= 2 * Position + 2;
           ++Child)
        if (Child < Ids.size() && less(Child, Smallest))
          Smallest = Child;
      if (Smallest == Position)
        return;
      swapPositions(Position, Smallest);
      Position = Smallest;
    }
  }

  std::vector<std::uint32_t> Ids;
  std::vector<std::uint32_t> Positions;
  std::vector<Key> Keys;
};

} // namespace magnoliaspread

#endif
