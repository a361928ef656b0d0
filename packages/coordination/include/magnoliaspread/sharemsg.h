/// Lease records of quota shares, the platform operations on them, and the
/// messages about them between the instances of a data centre.
#ifndef MAGNOLIASPREAD_SHAREMSG_H
#define MAGNOLIASPREAD_SHAREMSG_H

#include <magnoliaspread/clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Identifies a process: an instance's name and its incarnation.
struct process_identity {
  std::string Name;
  std::uint64_t Incarnation = 0;

  bool operator==(const process_identity &) const = default;
};

enum class lease_state : std::uint8_t { Released, Held };

/// The object quota/<data centre>/<index> in the platform.
struct share_record {
  process_identity Holder;
  /// Increases with each write of the holder's incarnation.
  std::uint64_t Renewal = 0;
  lease_state State = lease_state::Released;
  /// Version of the configuration that the holder has in force.
  std::uint64_t ConfigVersion = 0;
  /// Fraction of every limit that the holder mints, in parts per million.
  std::uint32_t FractionPpm = 0;
  /// Local peers that may take the share over if the holder is unresponsive.
  std::vector<process_identity> Roster;

  bool operator==(const share_record &) const = default;
};

/// Name of a share's object in the platform.
std::string shareObjectName(std::string_view DataCentre, std::uint16_t Index);

/// Reads a share's object.
struct share_read {
  std::uint64_t Ticket = 0;
  std::uint16_t Index = 0;
};

/// Replaces a share's object if it has the expected version; 0 creates it.
struct share_write {
  std::uint64_t Ticket = 0;
  std::uint16_t Index = 0;
  std::uint64_t ExpectedVersion = 0;
  share_record Record;
};

enum class read_outcome : std::uint8_t { Found, Missing, Failed };

struct share_read_result {
  std::uint64_t Ticket = 0;
  std::uint16_t Index = 0;
  read_outcome Outcome = read_outcome::Failed;
  std::uint64_t Version = 0;
  share_record Record;
};

/// NotSent: had no effect. Unknown: may have taken effect, or may still do so.
enum class write_outcome : std::uint8_t { Done, Conflict, NotSent, Unknown };

struct share_write_result {
  std::uint64_t Ticket = 0;
  std::uint16_t Index = 0;
  write_outcome Outcome = write_outcome::Unknown;
  /// Version after the write; set if Done.
  std::uint64_t Version = 0;
};

struct promise_row {
  std::uint16_t Index = 0;
  /// Newest version of the share's record that the holder knows.
  std::uint64_t Version = 0;

  bool operator==(const promise_row &) const = default;
};

/// A lease holder asks a local peer not to take its shares over for one lease
/// time.
struct promise_request {
  process_identity From;
  std::uint64_t Sequence = 0;
  std::vector<promise_row> Rows;

  bool operator==(const promise_request &) const = default;
};

/// Lists the shares that the sender promises not to take over.
struct promise_reply {
  process_identity From;
  std::uint64_t Sequence = 0;
  std::vector<std::uint16_t> Indexes;

  bool operator==(const promise_reply &) const = default;
};

struct outgoing_promise_request {
  process_identity To;
  promise_request Request;
};

/// Operations and messages for the caller to send after a tick.
struct share_actions {
  std::vector<share_read> Reads;
  std::vector<share_write> Writes;
  std::vector<outgoing_promise_request> Requests;
};

/// A share that this instance holds, as the quota allocator uses it.
struct minted_share {
  std::uint16_t Index = 0;
  std::uint32_t FractionPpm = 0;
  /// Start (inclusive) and end (exclusive) of minting.
  steady_time MintsFrom;
  steady_time MintsUntil;

  bool operator==(const minted_share &) const = default;
};

} // namespace magnoliaspread

#endif
