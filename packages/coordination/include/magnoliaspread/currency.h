/// How current the configuration in force is known to be. The platform proves
/// it to whoever reads it, and a peer's word proves it as well, since it tells
/// how old the proof was when it was given. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_CURRENCY_H
#define MAGNOLIASPREAD_CURRENCY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/proofmsg.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace magnoliaspread {

struct currency_settings {
  /// Peers are asked once the proof is this old: later than the platform is
  /// read, and soon enough to be asked several times within a revocation time
  /// of 5 s (RULES, CONFIG).
  std::chrono::milliseconds AskAfter{2400};
  /// Pause between two rounds of asking.
  std::chrono::milliseconds AskPause{300};
};

class config_currency {
public:
  explicit config_currency(const currency_settings &Settings)
      : Settings(Settings) {}

  /// \p Version is in force, and was the newest at \p AsOf.
  void proved(std::uint64_t Version, boot_time AsOf);

  /// The question for peers, when it is time for one.
  std::optional<proof_ask> ask(boot_time Now);

  proof_reply answer(const proof_ask &Ask, boot_time Now) const;

  /// Takes in a reply. True when the peer has a newer version in force, which
  /// has to be fetched from it.
  bool take(const proof_reply &Reply);

  std::uint64_t version() const { return Version; }
  /// The latest time at which the version in force is known to have been the
  /// newest; the epoch before the first.
  boot_time provedAt() const { return ProvedAt; }

private:
  currency_settings Settings;
  std::uint64_t Version = 0;
  boot_time ProvedAt;
  boot_time NextAsk;
};

} // namespace magnoliaspread

#endif
