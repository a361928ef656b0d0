/// Decides what answers of the platform prove after it lost a part of its
/// history, that is, came back from an older copy of its objects.
///
/// The platform's era tells of a loss; operators and targets then write again
/// what they had written. Nobody knows when they are done, so a time is
/// assumed. Within it the copy may lack a configuration or an evacuation that
/// was accepted before. Time is passed in; no I/O.
#ifndef MAGNOLIASPREAD_STOREHISTORY_H
#define MAGNOLIASPREAD_STOREHISTORY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/storeversion.h>

#include <chrono>
#include <optional>

namespace magnoliaspread {

struct history_settings {
  /// Time for operators and targets to write again: the two seconds within
  /// which targets register again, plus one poll.
  std::chrono::milliseconds RewriteTime{2300};
  /// The fleet starts for the first time: nothing was accepted before.
  bool FirstStart = false;
};

class store_history {
public:
  explicit store_history(const history_settings &Settings)
      : Settings(Settings) {}

  /// An answer or a peer names \p Era. True if history was lost since the
  /// highest era heard before; the first era heard only becomes the known one.
  bool hear(store_era Era, boot_time Now);

  /// The highest era heard.
  store_era era() const { return Era.value_or(0); }

  /// Answers to requests from this time on show what was accepted before the
  /// loss, too.
  boot_time provesFrom() const { return ProvesFrom; }
  bool isRewriting(boot_time Now) const { return Now < ProvesFrom; }

private:
  history_settings Settings;
  std::optional<store_era> Era;
  boot_time ProvesFrom = boot_time::min();
};

} // namespace magnoliaspread

#endif
