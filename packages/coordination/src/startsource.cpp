#include <magnoliaspread/startsource.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

start_source::start_source(const start_settings &Given, std::uint64_t Seed,
                           steady_time Now)
    : Settings(Given), ReadAt(Now), NextAsk(Now) {
  if (Settings.IsSeed) {
    if (!Settings.FirstStart)
      ReadAt = Now + Settings.SeedReadsAfter;
    return;
  }
  std::mt19937_64 Random(Seed);
  std::uniform_int_distribution<std::int64_t> Draw(0, Settings.Spread.count());
  ReadAt = Now + Settings.ReadsAfter + milliseconds(Draw(Random));
}

start_action start_source::next(std::size_t Peers, steady_time Now) {
  if (Done)
    return start_action::Wait;
  if (Now >= ReadAt) {
    Done = true;
    return start_action::Read;
  }
  while (!Asked.empty() && Now - Asked.front() >= Settings.Patience)
    Asked.pop_front();
  if (Peers == 0 || Asked.size() >= Settings.AtOnce || Now < NextAsk)
    return start_action::Wait;
  Asked.push_back(Now);
  NextAsk = Now + Settings.AskPause;
  return start_action::AskPeer;
}

void start_source::askEnded() {
  if (!Asked.empty())
    Asked.pop_front();
}

} // namespace magnoliaspread
