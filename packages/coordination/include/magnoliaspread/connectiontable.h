/// Which pooled connections to a target or peer may carry the next request.
/// A connection can become unresponsive for good while new ones work, so
/// liveness is tracked per connection: an idle one is reused only for a short
/// time, probed after a pause, and suspected when another one of the pool
/// becomes unresponsive. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_CONNECTIONTABLE_H
#define MAGNOLIASPREAD_CONNECTIONTABLE_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

using connection_id = std::uint64_t;

struct connection_reuse_settings {
  /// Idle connections are closed after this.
  std::chrono::milliseconds MaxIdle{15000};
  /// A connection that received bytes more recently needs no probe.
  std::chrono::milliseconds ProbeAfter{2000};
  /// The same for requests that must not be repeated.
  std::chrono::milliseconds ProbeAfterIfNotRepeatable{50};
  std::size_t MaxConnections = 512;
};

enum class reuse_verdict : std::uint8_t {
  Use,
  /// Use it only after a harmless request on it was answered.
  Probe,
  Close,
};

struct connection_state {
  connection_id Id = 0;
  /// Time of the handshake.
  steady_time CreatedAt;
  steady_time LastSent;
  /// Last byte received.
  steady_time LastReceived;
  /// Carries a request now.
  bool Busy = false;
  /// Another connection became unresponsive, and no bytes came on this one.
  bool Suspect = false;
};

struct connection_choice {
  connection_id Id = 0;
  /// Never Close.
  reuse_verdict Verdict = reuse_verdict::Use;
};

/// The pool of connections to one target or peer.
class connection_table {
public:
  explicit connection_table(const connection_reuse_settings &Settings)
      : Settings(Settings) {}

  /// False if the table is full; the connection must not be pooled then.
  bool opened(connection_id Id, steady_time Now);
  /// A request or probe was sent.
  void sent(connection_id Id, steady_time Now);
  /// Bytes were received.
  void received(connection_id Id, steady_time Now);
  /// The request or probe was answered completely.
  void becameIdle(connection_id Id, steady_time Now);
  void closed(connection_id Id);

  /// A request or probe on \p Id timed out without a byte. Suspects each
  /// connection that received nothing since it was sent, and returns the idle
  /// ones, to be closed or probed. Busy ones have their own timeouts.
  std::vector<connection_id> becameUnresponsive(connection_id Id);

  /// What to do with an idle connection.
  reuse_verdict checkReuse(const connection_state &Connection, bool Repeatable,
                           steady_time Now) const;

  /// The idle connection that received bytes last, unsuspected ones first.
  /// Empty if a new one has to be opened: when the best one has to be closed,
  /// or needs a probe and the request must not be repeated.
  std::optional<connection_choice> pick(bool Repeatable, steady_time Now) const;

  /// Connections idle for MaxIdle, to be closed.
  std::vector<connection_id> expired(steady_time Now) const;

  const std::vector<connection_state> &rows() const { return Rows; }

private:
  connection_state *find(connection_id Id);

  connection_reuse_settings Settings;
  std::vector<connection_state> Rows;
};

} // namespace magnoliaspread

#endif
