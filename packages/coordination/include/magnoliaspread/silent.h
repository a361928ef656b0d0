/// Which pooled connections to a target or peer may carry the next request.
/// A connection can go silent for good while new ones work, so liveness belongs
/// to each connection: idle ones are used again for a short time only, proved
/// by a probe after a pause, and doubted when one of the same pool falls
/// silent. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_SILENT_H
#define MAGNOLIASPREAD_SILENT_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

using connection_id = std::uint64_t;

struct silence_settings {
  /// An idle connection is closed after this.
  std::chrono::milliseconds MaxIdle{15000};
  /// A connection that has proved itself this recently needs no probe.
  std::chrono::milliseconds ProbeAfter{2000};
  /// The same for requests that may not be repeated.
  std::chrono::milliseconds ProbeAfterForOnce{50};
  std::size_t MaxConnections = 512;
};

enum class reuse_verdict : std::uint8_t {
  Use,
  /// Send something harmless first, and use it when that is answered.
  Probe,
  Close,
};

struct connection_row {
  connection_id Id = 0;
  /// The handshake, which proves the connection at that time.
  steady_time CreatedAt;
  steady_time LastSent;
  /// Last byte received.
  steady_time LastReceived;
  /// Carries a request now.
  bool Busy = false;
  /// Doubted since another connection fell silent.
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
  explicit connection_table(const silence_settings &Settings)
      : Settings(Settings) {}

  /// False when the table is full; the connection is not to be kept.
  bool opened(connection_id Id, steady_time Now);
  /// A request or probe went out.
  void sent(connection_id Id, steady_time Now);
  /// Bytes came in.
  void received(connection_id Id, steady_time Now);
  /// Its request or probe has been answered whole.
  void becameIdle(connection_id Id, steady_time Now);
  void closed(connection_id Id);

  /// A request or probe on \p Id got no byte in time. Doubts each connection
  /// that has not proved itself since that was sent, and returns those of them
  /// that are idle, to be closed or probed. Busy ones are judged by their own
  /// timeouts.
  std::vector<connection_id> fellSilent(connection_id Id);

  /// What to do with an idle connection.
  reuse_verdict judge(const connection_row &Row, bool Repeatable,
                      steady_time Now) const;

  /// The idle connection that proved itself last, unless it has to be closed;
  /// empty means to open a new one. A request that may not be repeated only
  /// gets a connection that needs no probe.
  std::optional<connection_choice> pick(bool Repeatable, steady_time Now) const;

  /// Idle connections past their time, to be closed.
  std::vector<connection_id> expired(steady_time Now) const;

  const std::vector<connection_row> &rows() const { return Rows; }

private:
  connection_row *find(connection_id Id);

  silence_settings Settings;
  std::vector<connection_row> Rows;
};

} // namespace magnoliaspread

#endif
