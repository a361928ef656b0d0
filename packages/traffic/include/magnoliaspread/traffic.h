/// The traffic threads of one instance: the public and the internal port.
#ifndef MAGNOLIASPREAD_TRAFFIC_H
#define MAGNOLIASPREAD_TRAFFIC_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/metrics.h>
#include <magnoliaspread/purse.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/view.h>

#include <functional>
#include <memory>

namespace magnoliaspread {

/// Path on the internal port where peers fetch the configuration.
inline constexpr const char *ConfigPath = "/-/config";

/// Runs on a traffic thread; has to hand the frame over and return.
using report_handler = std::function<void(traffic_frame)>;

class traffic_threads {
public:
  /// \p Tokens and \p Metrics outlive the threads.
  traffic_threads(const instance_settings &Settings, const clock &Clock,
                  fleet_secret Secret, purse &Tokens, instance_metrics &Metrics,
                  report_handler OnReport);
  ~traffic_threads();
  traffic_threads(const traffic_threads &) = delete;
  traffic_threads &operator=(const traffic_threads &) = delete;

  /// Opens both ports and starts the threads; BadSettings when a port can't
  /// be opened.
  status start();

  /// Hands a view to every thread.
  void publish(const traffic_view_ptr &View);

  /// Hands a peer's message to the threads.
  void deliver(const peer_credit_message &Message);
  void deliver(const quarantine_news &News);

  /// Closes the public port; connections that are open go on. The internal
  /// port stays open, since peers take its refusal for the process's death.
  void stopAccepting();

  /// Ends the threads; connections still open are cut.
  void stop();

private:
  struct thread;
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
