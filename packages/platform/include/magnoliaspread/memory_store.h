/// An in-process object store with injectable faults, for tests of code that
/// uses an object_store.
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
  /// Fraction of writes that take effect but fail with PlatformUnavailable.
  double LoseAnswers = 0;
  /// Lists return the copy made by freezeLists().
  bool FrozenLists = false;
  std::uint64_t Seed = 1;
};

class memory_store;

/// Objects and pending watches shared by several memory_store. Time is that of
/// the clock; expireWatches() ends the pending watches that are due.
class memory_platform {
public:
  explicit memory_platform(const clock &Clock) : Clock(Clock) {}

  void setFaults(const memory_store_faults &Faults);
  /// Copies the objects that lists return while FrozenLists is set.
  void freezeLists();
  /// Ends the watches whose wait is over.
  void expireWatches();

  object_table Objects;

private:
  friend class memory_store;

  struct pending_watch {
    const memory_store *Owner = nullptr;
    watch_request Request;
    steady_time EndsAt;
    std::function<void(result<watch_answer>)> Done;
  };

  bool shouldLoseAnswer();
  void completeChangedWatches();
  void answerWatch(const pending_watch &Watch, bool Changed);

  const clock &Clock;
  memory_store_faults Faults;
  std::mt19937_64 Random{1};
  object_table ListCopy;
  std::vector<pending_watch> Watches;
};

/// Runs a completion later, for example by posting it to an io_context.
using post_function = std::function<void(std::function<void()>)>;

/// One instance's view of a memory_platform.
class memory_store final : public object_store {
public:
  /// \p Platform and \p Clock must outlive the store.
  memory_store(memory_platform &Platform, const clock &Clock,
               post_function Post);
  /// Drops the completions of pending watches.
  ~memory_store() override;

  void get(get_request Request, completion<stored_object> Done) override;
  void put(put_request Request, completion<put_answer> Done) override;
  void remove(remove_request Request, completion<std::monostate> Done) override;
  void list(list_request Request, completion<object_list> Done) override;
  void watch(watch_request Request, completion<watch_answer> Done) override;
  /// Not supported by this store: BadRequest.
  void changes(changes_request Request,
               completion<changes_answer> Done) override;
  bool reachable() const override { return Reachable; }
  std::optional<wall_time> platformTimeAtLeast() const override;
  const platform_counters &counters() const override { return Counters; }

  /// Simulates a network partition between this store and the platform.
  void setPartitioned(bool IsPartitioned) { Partitioned = IsPartitioned; }

private:
  bool unavailable();
  template <class T>
  void finish(call_kind Kind, const completion<T> &Done, result<T> Result);

  memory_platform &Platform;
  const clock &Clock;
  post_function Post;
  platform_counters Counters;
  bool Partitioned = false;
  bool Reachable = true;
  std::optional<wall_time> LastAnswer;
};

} // namespace magnoliaspread

#endif
