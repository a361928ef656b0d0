/// Keeps what is known of refused requests in the platform, for a fleet that
/// has lost all its processes at once.
#ifndef MAGNOLIASPREAD_QUARANTINESTORE_P_H
#define MAGNOLIASPREAD_QUARANTINESTORE_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/quarantinemsg.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace magnoliaspread {

/// The object's value; \p Now is when the report was made. Times are kept as
/// calendar times.
std::string encodeSuspect(const suspect_report &Report, wall_time Now);

/// Reads a value back, with the ages that it has at \p Now; BadTable when it
/// can't be read.
result<suspect_report> decodeSuspect(const std::string &Json, wall_time Now);

class quarantine_store {
public:
  using news_handler = std::function<void(const quarantine_news &News)>;

  quarantine_store(object_store &Store, const clock &Clock,
                   news_handler OnLoaded)
      : Store(Store), Clock(Clock), OnLoaded(std::move(OnLoaded)) {}

  /// Keeps a request that is refused from now on.
  void save(const suspect_report &Report);

  /// Reads what is kept, once.
  void load();

  /// Tries again what has failed.
  void tick();

private:
  struct unsaved {
    std::string Name;
    std::string Value;
  };

  void put();
  void take(const object_list &List);

  object_store &Store;
  const clock &Clock;
  news_handler OnLoaded;
  std::deque<unsaved> Unsaved;
  bool Saving = false;
  bool Wanted = false;
  bool Loading = false;
  bool Loaded = false;
  steady_time NextPut;
  steady_time NextLoad;
};

} // namespace magnoliaspread

#endif
