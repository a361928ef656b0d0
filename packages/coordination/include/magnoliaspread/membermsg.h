/// Membership messages: heartbeats within a data centre, summaries and rows
/// between data centres.
#ifndef MAGNOLIASPREAD_MEMBERMSG_H
#define MAGNOLIASPREAD_MEMBERMSG_H

#include <magnoliaspread/servicedemand.h>
#include <magnoliaspread/settings.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace magnoliaspread {

/// Ordered by precedence: at the same sequence the later one wins.
enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// Spare capacity of an instance, used for look-ups and forwarding.
struct load_summary {
  std::uint32_t FreeSlots = 0;
  std::uint32_t QueueLength = 0;
  /// Requests per second that it can serve; 0 is unknown.
  std::uint32_t Capacity = 0;
  /// Requests per second that it receives.
  std::uint32_t Rate = 0;
  /// What its callers ask of each service, as a forecast.
  demand_list Demand = {};

  bool operator==(const load_summary &) const = default;
};

/// The configuration that an instance has in force.
struct config_stamp {
  /// 0 if there is none.
  std::uint64_t Version = 0;
  /// Distinguishes two tables of the same version.
  std::uint32_t Hash = 0;

  bool operator==(const config_stamp &) const = default;
};

/// Identity of an instance; only the epoch may change while it runs.
struct member_identity {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  /// Random for each process start; never 0.
  std::uint64_t Incarnation = 0;
  /// Orders the incarnations of one name; initially seconds since 1970.
  std::uint64_t Epoch = 0;
  endpoint_address Internal;
  endpoint_address Public;

  bool operator==(const member_identity &) const = default;
};

/// The part of a row that each heartbeat updates.
struct member_report {
  /// Increases with every heartbeat of an incarnation.
  std::uint64_t Sequence = 0;
  member_state State = member_state::Alive;
  config_stamp Config;
  load_summary Load;
  bool PlatformReachable = false;

  bool operator==(const member_report &) const = default;
};

/// What one instance knows about another.
struct member_row {
  member_identity Identity;
  member_report Report;

  bool operator==(const member_row &) const = default;
};

/// State of a data centre as seen by one of its speakers.
struct data_centre_summary {
  std::string DataCentre;
  /// Hash over the names, incarnations and leaving flags of live rows.
  std::uint64_t RowsHash = 0;
  /// Incarnation of the speaker that made the summary.
  std::uint64_t Speaker = 0;
  /// Increases with each summary of this speaker; 0 is none yet.
  std::uint64_t Sequence = 0;
  /// Lowest configuration version in force there.
  std::uint64_t LowestVersion = 0;
  /// The configuration in force on the speaker itself.
  config_stamp Config;
  std::uint32_t Alive = 0;
  load_summary Load;
  /// True if any of its instances reaches the platform.
  bool PlatformReachable = false;

  bool operator==(const data_centre_summary &) const = default;
};

/// Sent once per second to every live instance of the data centre.
struct heartbeat_message {
  std::uint64_t Incarnation = 0;
  member_report Report;
  /// The sender considers itself a speaker of its data centre.
  bool Speaker = false;
  /// Summaries of other data centres, relayed a few at a time.
  std::vector<data_centre_summary> Summaries;
  /// Data centres from which the sending speaker receives no summaries.
  std::vector<std::string> SilentCentres;

  bool operator==(const heartbeat_message &) const = default;
};

/// Sent between speakers of two data centres.
struct summary_message {
  data_centre_summary Summary;
  /// Recently changed rows of the sender's data centre.
  std::vector<member_row> Changed;

  bool operator==(const summary_message &) const = default;
};

/// Rows of a data centre: an answer, an introduction or relayed changes.
struct rows_message {
  std::vector<member_row> Rows;
  /// Relayed within a data centre; must not be relayed again.
  bool Relayed = false;

  bool operator==(const rows_message &) const = default;
};

/// Requests rows.
struct rows_request {
  /// The sender's own row, so that the receiver can answer and add it.
  member_row Sender;
  /// The data centre whose rows are requested; empty for the receiver's own row
  /// only.
  std::string DataCentre;

  bool operator==(const rows_request &) const = default;
};

using member_message = std::variant<heartbeat_message, summary_message,
                                    rows_message, rows_request>;

/// One message and its receivers, so that it is encoded only once.
struct outgoing_message {
  std::vector<endpoint_address> To;
  member_message Message;
};

using outbox = std::vector<outgoing_message>;

} // namespace magnoliaspread

#endif
