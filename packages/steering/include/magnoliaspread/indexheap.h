/// Binary min-heap over small integer ids that finds, moves and removes any
/// member in O(log n).
#ifndef MAGNOLIASPREAD_INDEXHEAP_H
#define MAGNOLIASPREAD_INDEXHEAP_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace magnoliaspread {

/// Holds each id below its capacity at most once. \p Key needs operator<.
template <class Key> class index_heap {
public:
  explicit index_heap(std::size_t Capacity)
      : Places(Capacity, Absent), Keys(Capacity) {
    Ids.reserve(Capacity);
  }

  bool empty() const { return Ids.empty(); }
  std::size_t size() const { return Ids.size(); }
  bool contains(std::uint32_t Id) const { return Places[Id] != Absent; }
  std::uint32_t top() const { return Ids.front(); }
  const Key &keyOf(std::uint32_t Id) const { return Keys[Id]; }
  /// Members in no useful order.
  const std::vector<std::uint32_t> &members() const { return Ids; }

  /// Adds \p Id, or changes its key.
  void set(std::uint32_t Id, const Key &Value) {
    Keys[Id] = Value;
    if (!contains(Id)) {
      Places[Id] = static_cast<std::uint32_t>(Ids.size());
      Ids.push_back(Id);
    }
    sink(rise(Places[Id]));
  }

  /// Does nothing for an absent id.
  void remove(std::uint32_t Id) {
    if (!contains(Id))
      return;
    const std::uint32_t Place = Places[Id];
    swapPlaces(Place, static_cast<std::uint32_t>(Ids.size() - 1));
    Ids.pop_back();
    Places[Id] = Absent;
    if (Place < Ids.size())
      sink(rise(Place));
  }

private:
  static constexpr std::uint32_t Absent =
      std::numeric_limits<std::uint32_t>::max();

  void swapPlaces(std::uint32_t A, std::uint32_t B) {
    std::swap(Ids[A], Ids[B]);
    Places[Ids[A]] = A;
    Places[Ids[B]] = B;
  }

  bool less(std::uint32_t A, std::uint32_t B) const {
    return Keys[Ids[A]] < Keys[Ids[B]];
  }

  std::uint32_t rise(std::uint32_t Place) {
    while (Place > 0 && less(Place, (Place - 1) / 2)) {
      swapPlaces(Place, (Place - 1) / 2);
      Place = (Place - 1) / 2;
    }
    return Place;
  }

  void sink(std::uint32_t Place) {
    for (;;) {
      std::uint32_t Least = Place;
      for (std::uint32_t Child = 2 * Place + 1; Child <= 2 * Place + 2; ++Child)
        if (Child < Ids.size() && less(Child, Least))
          Least = Child;
      if (Least == Place)
        return;
      swapPlaces(Place, Least);
      Place = Least;
    }
  }

  std::vector<std::uint32_t> Ids;
  std::vector<std::uint32_t> Places;
  std::vector<Key> Keys;
};

} // namespace magnoliaspread

#endif
