#include <magnoliaspread/startsource.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

start_source::start_source(const start_settings &NewSettings,
                           std::uint64_t Seed, steady_time Now)
    : Settings(NewSettings), ReadAt(Now), NextRequest(Now) {
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
  while (!RequestTimes.empty() &&
         Now - RequestTimes.front() >= Settings.RequestTimeout)
    RequestTimes.pop_front();
  if (Peers == 0 || RequestTimes.size() >= Settings.MaxOutstanding ||
      Now < NextRequest)
    return start_action::Wait;
  RequestTimes.push_back(Now);
  NextRequest = Now + Settings.RequestInterval;
  return start_action::AskPeer;
}

void start_source::requestEnded() {
  if (!RequestTimes.empty())
    RequestTimes.pop_front();
}

} // namespace magnoliaspread
