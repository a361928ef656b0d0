/// Decides which requests may queue for a service: those that will be answered
/// before their deadline by the forecast.
///
/// A service's queue drains at the rate of the slots that this instance's
/// requests occupy. That is its part of the targets when they are full, so the
/// forecasts of all instances add up to the slots. Requests that go first take
/// from that rate: what is left for a request is the occupied slots less the
/// slot time per second that arrives ahead of it.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_ADMISSION_H
#define MAGNOLIASPREAD_ADMISSION_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct admission_policy {
  bool Enabled = false;
  /// Time constant of the occupied slots and of the arrivals.
  std::chrono::milliseconds Memory{500};
  /// Standard deviations between a forecast's mean and the bound that has to
  /// be met: 0.98 of the answers.
  double Deviations = 2;
  /// Kinds of requests whose service time is measured.
  std::size_t MaxKinds = 1024;
};

/// Mean and standard deviation of a kind's service time.
struct service_spread {
  std::chrono::duration<double> Mean{0};
  std::chrono::duration<double> Deviation{0};
};

enum class admission_reason : std::uint8_t {
  /// The work itself takes longer than the time left.
  TooLittleTime,
  /// The queue ahead takes too long.
  QueueTooLong,
  /// More urgent requests take all of the slots.
  Outranked,
  QueueFull,
  /// No target may be used.
  NoTarget,
  /// The request was queued and can't be answered any more.
  Expired,
};
inline constexpr std::size_t AdmissionReasons = 6;

const char *nameOf(admission_reason Reason);

/// A request for which no slot is free.
struct admission_query {
  service_handle Service;
  std::uint64_t Kind = 0;
  /// Usual service time, for a kind that isn't measured yet.
  std::chrono::duration<double> Usual{0};
  /// Expected answer by the state of the best target.
  std::chrono::duration<double> Expected{0};
  /// Slot time queued ahead of the request.
  std::chrono::duration<double> Ahead{0};
  /// Slots that the request's queue may use; 0 for those of the service.
  double Slots = 0;
  /// Time to the deadline.
  std::chrono::duration<double> Left{0};
  /// Time until later arrivals go first; at most Left.
  std::chrono::duration<double> KeepsTurn{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
};

struct admission_forecast {
  bool Admitted = false;
  admission_reason Reason = admission_reason::QueueTooLong;
  /// Mean and bound of the time to the answer.
  std::chrono::duration<double> Mean{0};
  std::chrono::duration<double> Bound{0};
  /// Time until the queue ahead is short enough; 0 when admitted.
  std::chrono::duration<double> UntilRoom{0};
};

class admission {
public:
  explicit admission(const admission_policy &Policy = {}) : Policy(Policy) {}

  bool enabled() const { return Policy.Enabled; }

  /// Notes an answer; \p Waited if the request has queued at its target.
  void noteAnswer(service_handle Service, std::uint64_t Kind,
                  std::chrono::duration<double> Took, bool Waited);
  /// Notes how many of this instance's requests are at the targets.
  void noteInFlight(service_handle Service, double InFlight, steady_time Now);
  /// Notes a request that has arrived.
  void noteOffered(service_handle Service,
                   std::chrono::duration<double> SlotTime, steady_time Now);
  /// Notes a request that was sent or queued.
  void noteAdmitted(service_handle Service, std::uint32_t Priority,
                    std::chrono::duration<double> SlotTime, steady_time Now);

  admission_forecast forecast(const admission_query &Query,
                              steady_time Now) const;

  service_spread spread(std::uint64_t Kind,
                        std::chrono::duration<double> Usual) const;
  /// Slots that this instance's requests occupied lately.
  double slots(service_handle Service) const;
  /// Slots that all requests need which arrived lately.
  double offered(service_handle Service, steady_time Now) const;
  /// Whether less urgent requests arrive, and no more urgent ones.
  bool isMostUrgent(service_handle Service, std::uint32_t Priority,
                    steady_time Now) const;

private:
  struct kind_row {
    double Mean = 0;
    double Variance = 0;
  };

  /// Arrivals of one priority, in slots.
  struct class_row {
    std::uint32_t Priority = 0;
    double Slots = 0;
    steady_time At;
    bool Used = false;
  };
  static constexpr std::size_t Classes = 8;

  struct service_row {
    /// Average of the requests at the targets.
    double InFlight = 0;
    steady_time At;
    bool Known = false;
    /// Part of the time at the targets that is work rather than waiting.
    double WorkPart = 1;
    class_row Offered;
    std::array<class_row, Classes> Arrivals{};
  };

  double arrivingAhead(const service_row &Row, std::uint32_t Priority,
                       bool Equal, steady_time Now) const;
  double decayed(const class_row &Row, steady_time Now) const;
  void add(class_row &Row, double SlotSeconds, steady_time Now) const;
  service_row &rowOf(service_handle Service);
  const service_row *find(service_handle Service) const;

  admission_policy Policy;
  std::unordered_map<std::uint64_t, kind_row> Kinds;
  /// By service handle.
  std::vector<service_row> Services;
};

} // namespace magnoliaspread

#endif
