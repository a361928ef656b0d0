/// Stores quarantined requests in the platform, so that they survive the end of
/// all instances.
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

/// The object's value; \p Now is the time of the report. Ages are stored as
/// wall times.
std::string encodeSuspect(const suspect_report &Report, wall_time Now);

/// Parses a value, with ages relative to \p Now. Errors: BadTable.
result<suspect_report> decodeSuspect(const std::string &Json, wall_time Now);

class quarantine_store {
public:
  using update_handler = std::function<void(const quarantine_update &Update)>;

  quarantine_store(object_store &Store, const clock &Clock,
                   update_handler OnLoaded)
      : Store(Store), Clock(Clock), OnLoaded(std::move(OnLoaded)) {}

  /// Stores a request that was quarantined.
  void save(const suspect_report &Report);

  /// Reads the stored quarantines; further calls do nothing.
  void load();

  /// The platform lost a part of its history: what this instance stored is
  /// stored again.
  void historyLost();

  /// Retries failed reads and writes.
  void tick();

private:
  struct unsaved {
    std::string Name;
    std::string Value;
  };

  void writeNext();
  void noteSaved();
  void applyList(const object_list &List);

  object_store &Store;
  const clock &Clock;
  update_handler OnLoaded;
  std::deque<unsaved> Unsaved;
  /// Stored by this instance; the latest ones.
  std::deque<unsaved> Saved;
  bool Saving = false;
  bool LoadRequested = false;
  bool Loading = false;
  bool Loaded = false;
  steady_time NextWrite;
  steady_time NextLoad;
};

} // namespace magnoliaspread

#endif
