/// Drops datagrams that were received before.
#ifndef MAGNOLIASPREAD_REPLAY_H
#define MAGNOLIASPREAD_REPLAY_H

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace magnoliaspread {

/// Sequences behind a sender's highest that are still told apart; older ones
/// count as received.
inline constexpr std::size_t ReplayWindow = 256;
/// Senders remembered; beyond, the one that was silent longest is forgotten.
inline constexpr std::size_t MaxReplaySenders = 2048;

class replay_filter {
public:
  /// True the first time that \p Sequence comes from \p Sender.
  bool accept(std::uint64_t Sender, std::uint64_t Sequence);

  /// Senders remembered now.
  std::size_t senderCount() const { return Windows.size(); }

private:
  struct sender_window {
    std::uint64_t Highest = 0;
    /// Bit N: Highest - N was received.
    std::bitset<ReplayWindow> Seen;
    std::uint64_t LastUse = 0;
  };

  void evictOldest();

  std::unordered_map<std::uint64_t, sender_window> Windows;
  std::uint64_t Uses = 0;
};

} // namespace magnoliaspread

#endif
