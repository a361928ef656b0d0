#include <magnoliaspread/currency.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void config_currency::proved(std::uint64_t Newest, boot_time AsOf) {
  if (Newest < Version)
    return;
  Version = Newest;
  ProvedAt = std::max(ProvedAt, AsOf);
}

std::optional<proof_ask> config_currency::ask(boot_time Now) {
  if (Now - ProvedAt < Settings.AskAfter || Now < NextAsk)
    return std::nullopt;
  NextAsk = Now + Settings.AskPause;
  return proof_ask{Now};
}

proof_reply config_currency::answer(const proof_ask &Ask, boot_time Now) const {
  // Rounded up, so that the proof isn't taken for newer than it is.
  const auto Age = duration_cast<milliseconds>(Now - ProvedAt);
  return {Ask.AskedAt, Version, Age + milliseconds(1)};
}

bool config_currency::take(const proof_reply &Reply) {
  if (Reply.Version == 0)
    return false;
  if (Reply.Version > Version)
    return true;
  if (Reply.Version == Version)
    ProvedAt = std::max(ProvedAt, Reply.AskedAt - Reply.Age);
  return false;
}

} // namespace magnoliaspread
