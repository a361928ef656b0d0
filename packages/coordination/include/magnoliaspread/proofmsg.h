/// Messages by which an instance learns from a peer how current the
/// configuration in force is.
#ifndef MAGNOLIASPREAD_PROOFMSG_H
#define MAGNOLIASPREAD_PROOFMSG_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstdint>

namespace magnoliaspread {

struct proof_ask {
  /// The asker's own time, which the reply repeats.
  boot_time AskedAt;

  bool operator==(const proof_ask &) const = default;
};

struct proof_reply {
  boot_time AskedAt;
  /// Of the configuration that the sender has in force; 0 is none.
  std::uint64_t Version = 0;
  /// How long ago, when the reply was sent, Version was the newest. The reply
  /// was sent after AskedAt, so Version was the newest at AskedAt - Age.
  std::chrono::milliseconds Age{0};

  bool operator==(const proof_reply &) const = default;
};

} // namespace magnoliaspread

#endif
