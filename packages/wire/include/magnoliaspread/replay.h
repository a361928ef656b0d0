/// Detects replayed datagrams with a sliding window of sequences per sender.
#ifndef MAGNOLIASPREAD_REPLAY_H
#define MAGNOLIASPREAD_REPLAY_H

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace magnoliaspread {

/// Sequences tracked behind a sender's highest; older ones count as received.
inline constexpr std::size_t ReplayWindow = 256;
/// Senders tracked; the least recently seen one is evicted.
inline constexpr std::size_t MaxReplaySenders = 2048;

class replay_filter {
public:
  /// True when \p Sequence is received from \p Sender for the first time.
  bool accept(std::uint64_t Sender, std::uint64_t Sequence);

  /// Senders tracked at the moment.
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
  std::uint64_t UseCount = 0;
};

} // namespace magnoliaspread

#endif
