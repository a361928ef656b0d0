/// The traffic threads of one instance: the public and the internal port.
#ifndef MAGNOLIASPREAD_TRAFFIC_H
#define MAGNOLIASPREAD_TRAFFIC_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/metrics.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/tokenpool.h>
#include <magnoliaspread/view.h>

#include <functional>
#include <memory>

namespace magnoliaspread {

/// Path on the internal port where peers fetch the configuration.
inline constexpr const char *ConfigPath = "/-/config";

/// Called on a traffic thread; must not block.
using report_handler = std::function<void(thread_report)>;

class traffic_threads {
public:
  /// \p Tokens and \p Metrics must outlive the threads.
  traffic_threads(const instance_settings &Settings, const clock &Clock,
                  fleet_secret Secret, token_pool &Tokens,
                  instance_metrics &Metrics, report_handler OnReport);
  ~traffic_threads();
  traffic_threads(const traffic_threads &) = delete;
  traffic_threads &operator=(const traffic_threads &) = delete;

  /// Opens both ports and starts the threads; BadSettings when a port can't
  /// be opened.
  status start();

  /// Passes a view to every thread.
  void publish(const traffic_view_ptr &View);

  /// Passes a peer's message to the threads.
  void deliver(const peer_credit_message &Message);
  void deliver(const quarantine_update &Update);

  /// Closes the public port; open connections stay. The internal port stays
  /// open, since peers take a refused connection for a crash.
  void stopAccepting();

  /// Stops the threads and aborts open connections.
  void stop();

private:
  struct thread;
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
