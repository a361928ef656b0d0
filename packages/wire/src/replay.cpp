#include <magnoliaspread/replay.h>

#include <algorithm>

namespace magnoliaspread {

bool replay_filter::accept(std::uint64_t Sender, std::uint64_t Sequence) {
  if (!Windows.contains(Sender) && Windows.size() >= MaxReplaySenders)
    evictOldest();
  const auto [Found, IsNew] = Windows.try_emplace(Sender);
  sender_window &Window = Found->second;
  Window.LastUse = ++UseCount;
  if (IsNew || Sequence > Window.Highest) {
    const std::uint64_t Step = IsNew ? 0 : Sequence - Window.Highest;
    if (Step >= ReplayWindow)
      Window.Seen.reset();
    else
      Window.Seen <<= Step;
    Window.Highest = Sequence;
    Window.Seen.set(0);
    return true;
  }
  const std::uint64_t Behind = Window.Highest - Sequence;
  if (Behind >= ReplayWindow || Window.Seen.test(Behind))
    return false;
  Window.Seen.set(Behind);
  return true;
}

void replay_filter::evictOldest() {
  const auto Oldest = std::min_element(
      Windows.begin(), Windows.end(), [](const auto &A, const auto &B) {
        return A.second.LastUse < B.second.LastUse;
      });
  Windows.erase(Oldest);
}

} // namespace magnoliaspread
