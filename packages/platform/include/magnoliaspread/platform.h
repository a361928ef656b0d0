/// The platform's object API: named JSON values with versions, conditional
/// updates and watches. All calls are asynchronous; completions run on the
/// thread that runs the store's io_context, never inside the call itself.
#ifndef MAGNOLIASPREAD_PLATFORM_H
#define MAGNOLIASPREAD_PLATFORM_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/storeversion.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Versions of a name only increase, also when its object is removed and
/// created again.
using object_version = std::uint64_t;

/// The version of an object that doesn't exist.
inline constexpr object_version NoObject = 0;

/// Largest value that the platform accepts, in bytes of JSON text.
inline constexpr std::size_t MaxObjectBytes = 1u << 20;

struct stored_object {
  /// May contain slashes.
  std::string Name;
  object_version Version = NoObject;
  /// JSON text.
  std::string Value;
  /// The era of the answer.
  store_era Era = 0;
};

struct get_request {
  std::string Name;
};

struct put_request {
  std::string Name;
  /// JSON text.
  std::string Value;
  /// The version to replace; NoObject creates, empty replaces any.
  std::optional<object_version> IfVersion;
  /// The era in which IfVersion was read; empty when it isn't checked.
  std::optional<store_era> IfEra = std::nullopt;
};

struct put_answer {
  object_version Version = NoObject;
  /// The write took effect, but another has replaced it since; Version is then
  /// that of the current object.
  bool Superseded = false;
};

struct remove_request {
  std::string Name;
  /// The version to remove; empty removes any.
  std::optional<object_version> IfVersion;
};

struct list_request {
  std::string Prefix;
};

/// Lists can lag behind reads of single objects.
struct object_list {
  std::vector<stored_object> Objects;
  /// The platform's revision at the first page of the list, to request changes
  /// from; NoObject when the platform sends none.
  object_version Revision = NoObject;
  /// The era of all pages.
  store_era Era = 0;
};

struct changes_request {
  /// Prefix of the names, such as "instances/".
  std::string Prefix;
  /// Changes after this revision.
  object_version Since = NoObject;
  /// Longest wait for a change; zero returns at once.
  std::chrono::milliseconds Wait{0};
  /// The era of Since.
  store_era Era = 0;
};

struct object_change {
  stored_object Object;
  bool Removed = false;
};

struct changes_answer {
  std::vector<object_change> Changes;
  /// The Since of the next request.
  object_version Revision = NoObject;
  store_era Era = 0;
  /// The platform doesn't have the changes since the requested revision, or
  /// not the revision itself: list again.
  bool HistoryGone = false;
};

struct watch_request {
  std::string Name;
  /// The version already known; NoObject waits for the object to be created.
  object_version Version = NoObject;
  /// Longest wait for a change.
  std::chrono::milliseconds Wait{5000};
};

struct watch_answer {
  /// False when the wait ended without a change.
  bool Changed = false;
  /// The current object; its version is NoObject when it was removed.
  stored_object Object;
};

enum class call_kind : std::uint8_t {
  Get,
  Put,
  Remove,
  List,
  Watch,
  Changes,
  Count
};

inline constexpr std::size_t CallKinds =
    static_cast<std::size_t>(call_kind::Count);

/// Calls of one kind since the store was created.
struct call_counters {
  /// Calls sent, retries and read-backs included.
  std::uint64_t Sent = 0;
  /// Successful answers; for watches also a wait that ended without a change.
  std::uint64_t Succeeded = 0;
  std::uint64_t NotFound = 0;
  std::uint64_t Conflicts = 0;
  /// None of the above: no connection, no answer or a server error.
  std::uint64_t Failed = 0;
  /// Not sent, because too many calls were already waiting.
  std::uint64_t Refused = 0;
};

struct platform_counters {
  std::array<call_counters, CallKinds> Calls;
  std::size_t WaitingWatches = 0;
  std::size_t ActiveCalls = 0;
  std::size_t QueuedCalls = 0;
  std::uint64_t ConnectionsOpened = 0;
  /// Writes without an answer whose outcome was determined by reading back.
  std::uint64_t WritesReadBack = 0;

  call_counters &of(call_kind Kind) {
    return Calls[static_cast<std::size_t>(Kind)];
  }
  const call_counters &of(call_kind Kind) const {
    return Calls[static_cast<std::size_t>(Kind)];
  }
};

template <class T> using completion = std::function<void(result<T>)>;

/// Errors of every call: PlatformUnavailable (a write may have taken effect),
/// OutcomeUnknown (a write may have taken effect and been replaced), QueueFull
/// (not sent), BadRequest (the platform refused the value).
class object_store {
public:
  object_store() = default;
  object_store(const object_store &) = delete;
  object_store &operator=(const object_store &) = delete;
  virtual ~object_store() = default;

  /// Further errors: NotFound.
  virtual void get(get_request Request, completion<stored_object> Done) = 0;

  /// Further errors: VersionConflict, for this write alone: an earlier write
  /// with unknown outcome can take effect until its version is replaced.
  virtual void put(put_request Request, completion<put_answer> Done) = 0;

  /// Further errors: VersionConflict, NotFound.
  virtual void remove(remove_request Request,
                      completion<std::monostate> Done) = 0;

  virtual void list(list_request Request, completion<object_list> Done) = 0;

  virtual void watch(watch_request Request, completion<watch_answer> Done) = 0;

  /// All changes of the objects with one prefix. BadRequest when the platform
  /// doesn't support it.
  virtual void changes(changes_request Request,
                       completion<changes_answer> Done) = 0;

  /// False from the first failed call until the next answered one.
  virtual bool reachable() const = 0;

  /// The highest era in an answer so far.
  virtual store_era era() const { return 0; }

  /// Lower bound of the platform's time; empty before the first answer.
  virtual std::optional<wall_time> platformTimeAtLeast() const = 0;

  virtual const platform_counters &counters() const = 0;
};

} // namespace magnoliaspread

#endif
