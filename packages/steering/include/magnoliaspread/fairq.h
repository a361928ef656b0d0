/// Weighted fair queue over workspaces for the target slots of one service.
///
/// Start-time fair queueing by slot time: the virtual start time of a workspace
/// advances by the slot time that it used divided by its weight; the workspace
/// with the lowest one is served next. Not thread-safe.
#ifndef MAGNOLIASPREAD_FAIRQ_H
#define MAGNOLIASPREAD_FAIRQ_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fairflow.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/indexheap.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct fairq_limits {
  /// Number of workspaces; handles below this index are valid.
  std::size_t Workspaces = 64;
  /// Entries of all workspaces together.
  std::size_t Total = 4096;
  /// Entries of one workspace.
  std::size_t PerWorkspace = 1024;
};

struct fairq_entry {
  /// Chosen by the caller; unique among the queued entries.
  std::uint64_t Id = 0;
  workspace_handle Workspace;
  steady_time Deadline;
};

/// An entry that may take a slot now.
struct fairq_grant {
  fairq_entry Entry;
  /// Slot time charged in advance; corrected by settle().
  std::chrono::nanoseconds Charged{};
};

/// Queue state; use the free functions below.
struct fair_queue {
  static constexpr std::uint32_t None = UINT32_MAX;

  struct waiting_entry {
    fairq_entry Entry;
    std::uint32_t Previous = None;
    std::uint32_t Next = None;
  };

  struct workspace_queue : fair_flow {
    /// Mean slot time of the workspace's requests in seconds; 0 is unknown.
    double MeanSeconds = 0;
    /// Mean time between grants since the workspace last had no entry, in
    /// seconds.
    double GapSeconds = 0;
    /// Grants in GapSeconds.
    std::uint32_t Gaps = 0;
    steady_time LastGrant;
    std::uint32_t Head = None;
    std::uint32_t Tail = None;
    std::uint32_t Count = 0;
  };

  explicit fair_queue(const fairq_limits &Limits);

  fairq_limits Limits;
  std::vector<waiting_entry> Entries;
  /// Unused indexes into Entries.
  std::vector<std::uint32_t> Free;
  std::vector<workspace_queue> Workspaces;
  /// Workspaces with entries, by virtual start time.
  index_heap<double> Active;
  /// Entries by deadline.
  index_heap<steady_time> Deadlines;
  /// Indexes into Entries by entry id.
  std::unordered_map<std::uint64_t, std::uint32_t> IndexById;
  double VirtualTime = 0;
  double ActiveWeight = 0;
  double MeanSeconds = 0;
  std::uint32_t Slots = 0;
};

/// Sets the weight of a workspace; one at or below 0 counts as the minimum.
void setWeight(fair_queue &Queue, workspace_handle Workspace, double Weight);

/// Sets the number of requests that the service's usable targets run at once.
void setSlots(fair_queue &Queue, std::uint32_t Slots);

/// Expected wait of a new entry of \p Workspace, from the mean slot times, the
/// queued entries and the rate at which the workspace is granted slots; zero
/// until a slot time was measured.
std::chrono::nanoseconds expectedWait(const fair_queue &Queue,
                                      workspace_handle Workspace);

/// Adds an entry. Errors, all not run: DeadlineExpired (already past),
/// NoCapacity (no slots, or the expected wait exceeds the deadline), QueueFull,
/// BadRequest (unknown workspace, or an id that is already queued). A wait that
/// is too long and a full queue come with a retry time.
status push(fair_queue &Queue, const fairq_entry &Entry, steady_time Now);

/// Removes and grants the next entry in fair order. Entries whose deadline has
/// passed are first moved to \p Expired; they are never granted.
std::optional<fairq_grant> pop(fair_queue &Queue, steady_time Now,
                               std::vector<fairq_entry> &Expired);

/// Moves every entry whose deadline has passed to \p Expired.
void expire(fair_queue &Queue, steady_time Now,
            std::vector<fairq_entry> &Expired);

/// Earliest deadline of the queued entries.
std::optional<steady_time> nextDeadline(const fair_queue &Queue);

/// Removes the entry \p Id; false when it isn't queued.
bool cancel(fair_queue &Queue, std::uint64_t Id);

/// Corrects the advance charge of a granted entry to the slot time that it
/// used, and updates the mean slot times.
void correctCharge(fair_queue &Queue, const fairq_grant &Grant,
                   std::chrono::nanoseconds Used);

/// Mean time that a granted request occupies its slot; zero when unknown.
std::chrono::nanoseconds meanSlotTime(const fair_queue &Queue);

/// Number of queued entries.
std::size_t waiting(const fair_queue &Queue);
std::size_t waiting(const fair_queue &Queue, workspace_handle Workspace);

} // namespace magnoliaspread

#endif
