/// A stand-in for the platform's object API: objects in memory, faults that can
/// be injected at run time.
#ifndef MAGNOLIASPREAD_PLATFORM_SERVER_H
#define MAGNOLIASPREAD_PLATFORM_SERVER_H

#include <magnoliaspread/error.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace magnoliaspread {

struct platform_faults {
  /// Object calls answer 503 and have no effect.
  bool Down = false;
  /// Added between a call's effect and its answer.
  std::chrono::milliseconds Delay{0};
  /// Probability that a write takes effect but its connection is closed without
  /// an answer.
  double LoseAnswers = 0;
  /// Lists show the objects as they were at least this long ago.
  std::chrono::milliseconds ListLag{0};
  /// Closes the port and every connection but those of the control port.
  bool RefuseConnections = false;
  /// Watches are accepted but never answered.
  bool SilentWatches = false;
  std::uint64_t Seed = 1;
};

struct platform_server_stats {
  std::uint64_t Gets = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Removes = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t WaitingWatches = 0;
  std::uint64_t MostWaitingWatches = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t Connections = 0;
};

class platform_server {
public:
  /// Listens on 127.0.0.1; \p Port 0 picks a free one. The control port serves
  /// the same calls and stays open under RefuseConnections.
  platform_server(boost::asio::io_context &Io, std::uint16_t Port);
  ~platform_server();
  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

  std::uint16_t port() const;
  std::uint16_t controlPort() const;

  /// Stores each field of the JSON object \p Text.
  status load(std::string_view Text);

  void setFaults(const platform_faults &Faults);
  const platform_server_stats &stats() const;

private:
  class state;
  std::shared_ptr<state> State;
};

} // namespace magnoliaspread

#endif
