/// An object store in the process itself, with injectable faults; for tests of
/// code that uses an object_store.
#ifndef MAGNOLIASPREAD_MEMORY_STORE_H
#define MAGNOLIASPREAD_MEMORY_STORE_H

#include <magnoliaspread/object_table.h>
#include <magnoliaspread/platform.h>

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace magnoliaspread {

struct memory_store_faults {
  /// Every call fails with PlatformUnavailable and has no effect.
  bool Down = false;
  /// Part of the writes that take effect but fail with PlatformUnavailable.
  double LoseAnswers = 0;
  /// Lists show only what is in the copy that freezeLists() took.
  bool FrozenLists = false;
  std::uint64_t Seed = 1;
};

class memory_store;

/// Objects and waiting watches behind one or more memory_store. Time is that
/// of the clock; a waiting watch ends when expireWatches() finds it due.
class memory_platform {
public:
  explicit memory_platform(const clock &Clock) : Clock(Clock) {}

  void setFaults(const memory_store_faults &Faults);
  /// Copies the objects that lists show while FrozenLists is set.
  void freezeLists();
  /// Ends the watches whose wait is over.
  void expireWatches();

  object_table Objects;

private:
  friend class memory_store;

  struct waiting_watch {
    const memory_store *Owner = nullptr;
    watch_request Request;
    steady_time EndsAt;
    std::function<void(result<watch_answer>)> Done;
  };

  bool losesAnswer();
  void wakeWatches();
  void answerWatch(const waiting_watch &Watch, bool Changed);

  const clock &Clock;
  memory_store_faults Faults;
  std::mt19937_64 Random{1};
  object_table ListCopy;
  std::vector<waiting_watch> Watches;
};

/// Runs a completion later, for example by posting it to an io_context.
using post_function = std::function<void(std::function<void()>)>;

/// One instance's view of a memory_platform.
class memory_store final : public object_store {
public:
  /// \p Platform and \p Clock must outlive the store.
  memory_store(memory_platform &Platform, const clock &Clock,
               post_function Post);
  /// Drops the completions of waiting watches.
  ~memory_store() override;

  void get(get_request Request, completion<stored_object> Done) override;
  void put(put_request Request, completion<put_answer> Done) override;
  void remove(remove_request Request, completion<std::monostate> Done) override;
  void list(list_request Request, completion<object_list> Done) override;
  void watch(watch_request Request, completion<watch_answer> Done) override;
  /// Not offered by this store: BadRequest.
  void changes(changes_request Request,
               completion<changes_answer> Done) override;
  bool reachable() const override { return Reachable; }
  std::optional<wall_time> platformTimeAtLeast() const override;
  const platform_counters &counters() const override { return Counters; }

  /// Cuts this store off from the platform, or connects it again.
  void setCut(bool IsCut) { Cut = IsCut; }

private:
  bool unavailable();
  template <class T>
  void finish(call_kind Kind, const completion<T> &Done, result<T> Result);

  memory_platform &Platform;
  const clock &Clock;
  post_function Post;
  platform_counters Counters;
  bool Cut = false;
  bool Reachable = true;
  std::optional<wall_time> LastAnswer;
};

} // namespace magnoliaspread

#endif
