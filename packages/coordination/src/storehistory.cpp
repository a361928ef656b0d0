#include <magnoliaspread/storehistory.h>

namespace magnoliaspread {

bool store_history::hear(store_era Heard, boot_time Now) {
  if (Era && Heard <= *Era)
    return false;
  const bool First = !Era;
  Era = Heard;
  // In era 0 nothing has been lost yet. A starting instance can't tell how long
  // ago a later era began.
  if (Heard > 0 && !(First && Settings.FirstStart))
    ProvesFrom = Now + Settings.RewriteTime;
  return !First;
}

} // namespace magnoliaspread
