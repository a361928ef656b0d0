/// Bounds the memory of bodies that are held at a time.
#ifndef MAGNOLIASPREAD_HELD_P_H
#define MAGNOLIASPREAD_HELD_P_H

#include <cstddef>
#include <utility>

namespace magnoliaspread {

/// Sum over all bodies, in bytes.
class memory_account {
public:
  explicit memory_account(std::size_t Most) : Most(Most) {}

  std::size_t used() const { return Used; }

  /// Changes a part of the sum from \p Before to \p After bytes; false, with
  /// nothing changed, when the sum would pass the bound.
  bool change(std::size_t Before, std::size_t After) {
    if (After > Before && After - Before > Most - Used)
      return false;
    Used = Used - Before + After;
    return true;
  }

private:
  std::size_t Most;
  std::size_t Used = 0;
};

/// The part of one body; given back at the end of its scope.
class held_bytes {
public:
  /// \p Account outlives the part.
  explicit held_bytes(memory_account &Account) : Account(&Account) {}
  ~held_bytes() { Account->change(Count, 0); }
  held_bytes(held_bytes &&Other) noexcept
      : Account(Other.Account), Count(std::exchange(Other.Count, 0)) {}
  held_bytes &operator=(held_bytes &&Other) noexcept {
    std::swap(Account, Other.Account);
    std::swap(Count, Other.Count);
    return *this;
  }
  held_bytes(const held_bytes &) = delete;
  held_bytes &operator=(const held_bytes &) = delete;

  /// False when the bytes can't be had; the part is unchanged then.
  bool resize(std::size_t Bytes) {
    if (!Account->change(Count, Bytes))
      return false;
    Count = Bytes;
    return true;
  }

private:
  memory_account *Account;
  std::size_t Count = 0;
};

} // namespace magnoliaspread

#endif
