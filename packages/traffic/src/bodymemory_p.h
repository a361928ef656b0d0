/// Limits the memory of buffered bodies.
#ifndef MAGNOLIASPREAD_BODYMEMORY_P_H
#define MAGNOLIASPREAD_BODYMEMORY_P_H

#include <cstddef>
#include <utility>

namespace magnoliaspread {

/// Budget shared by all buffered bodies, in bytes.
class memory_budget {
public:
  explicit memory_budget(std::size_t Limit) : Limit(Limit) {}

  std::size_t used() const { return Used; }

  /// Resizes one reservation from \p Before to \p After bytes. False, without
  /// effect, when the budget would be exceeded.
  bool change(std::size_t Before, std::size_t After) {
    if (After > Before && After - Before > Limit - Used)
      return false;
    Used = Used - Before + After;
    return true;
  }

private:
  std::size_t Limit;
  std::size_t Used = 0;
};

/// Memory reserved for one body; released on destruction.
class memory_reservation {
public:
  /// \p Budget must outlive the reservation.
  explicit memory_reservation(memory_budget &Budget) : Budget(&Budget) {}
  ~memory_reservation() { Budget->change(Count, 0); }
  memory_reservation(memory_reservation &&Other) noexcept
      : Budget(Other.Budget), Count(std::exchange(Other.Count, 0)) {}
  memory_reservation &operator=(memory_reservation &&Other) noexcept {
    std::swap(Budget, Other.Budget);
    std::swap(Count, Other.Count);
    return *this;
  }
  memory_reservation(const memory_reservation &) = delete;
  memory_reservation &operator=(const memory_reservation &) = delete;

  /// False, without effect, when the budget would be exceeded.
  bool resize(std::size_t Bytes) {
    if (!Budget->change(Count, Bytes))
      return false;
    Count = Bytes;
    return true;
  }

private:
  memory_budget *Budget;
  std::size_t Count = 0;
};

} // namespace magnoliaspread

#endif
