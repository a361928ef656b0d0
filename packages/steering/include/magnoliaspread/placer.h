/// Places requests on targets so that each object stays on few of them.
///
/// A target that has handled an object of late holds it: it answers several
/// times faster. Requests go to a holder of their object; an object without
/// one gets the first target of a weighted rendezvous hash, which every
/// instance computes alike, and only one request at a time makes a target a
/// holder. A further holder is made only on a target with slots to spare, as
/// the work that it takes would otherwise make other objects wait. A target is
/// held to its slots; what has to wait waits here, in order of urgency, and
/// what can't be answered in time is refused at once.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_PLACER_H
#define MAGNOLIASPREAD_PLACER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/objectmsg.h>
#include <magnoliaspread/pushback.h>

#include <array>
#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace magnoliaspread {

/// From this instance to a target.
enum class target_distance : std::uint8_t { DataCentre, Region, Remote };

inline constexpr std::size_t TargetDistances = 3;

/// Regions by their number in the settings; none set is all of them.
using home_regions = std::bitset<32>;

struct placer_policy {
  /// Part of a service's slots that its own region's requests are taken to
  /// fill when each region sends the same; sets how many objects of a region
  /// with few targets are kept elsewhere.
  double RegionFill = 1.4;
  double LeastLocal = 0.05;
  double MostLocal = 0.96;
  /// Weight of the own data centre against others of the region, for small and
  /// for large bodies, whose bytes are dear between data centres.
  double NearFactor = 1.3;
  double LargeNearFactor = 60;
  /// Weight of the own region against others for large bodies.
  double LargeRegionFactor = 30;
  /// Bodies from here on count as large, in bytes.
  std::size_t LargeBody = 8192;
  /// Expected round trip by distance.
  std::array<std::chrono::microseconds, TargetDistances> RoundTrip{
      std::chrono::microseconds(500), std::chrono::microseconds(3000),
      std::chrono::microseconds(90000)};
  /// Requests sent to a target beyond its slots, so that it doesn't idle
  /// while the next one travels.
  std::uint32_t Ahead = 1;
  /// A target that isn't a holder has to be this much sooner than the best
  /// holder.
  std::chrono::milliseconds LeaveMargin{60};
  /// Part of the time left from which a holder's answer is so late that a
  /// further holder is made for an answer that is late, too.
  double LatePart = 0.5;
  /// Part of a target's slots that may be busy when it is made a further
  /// holder.
  double SparePart = 0.5;
  /// Reports of at least this part of a target's slots are told to peers.
  double BusyPart = 0.5;
  /// A target that has not become a holder in this many expected times won't.
  double WarmingPatience = 2.5;
  /// Part of the latency target that a cold and a warm request are taken to
  /// need until they are measured.
  double ColdGuess = 1.1;
  double WarmGuess = 0.36;
  /// An object counts as warm on a target for this long after its last use.
  std::chrono::milliseconds WarmTime{30000};
  /// Load of other instances on a target halves in this time after a report.
  std::chrono::milliseconds ReportHalfLife{400};
  /// Marks against a target halve in this time.
  std::chrono::milliseconds MarkHalfLife{4000};
  /// First pause after a failed connection; doubles up to the largest.
  std::chrono::milliseconds FirstPause{300};
  std::chrono::milliseconds LargestPause{4000};
  /// A target that sheds a request gets none for this long.
  std::chrono::milliseconds ShedPause{60};
  /// Part of its time after which a request that waits is refused.
  double WaitPart = 0.55;
  /// Objects that are remembered.
  std::size_t MaxObjects = 16384;
  std::size_t MaxWaiting = 512;
};

/// What is known of a target from outside.
struct placer_target {
  target_handle Handle;
  service_handle Service;
  /// Of the target's name; the same in every instance.
  std::uint64_t Id = 0;
  std::uint32_t Slots = 1;
  target_distance Distance = target_distance::DataCentre;
  /// Its number in the settings.
  std::uint8_t Region = 0;
  /// Takes new work: neither leaving nor in an evacuated data centre.
  bool Open = true;
  /// Bears only ColdRate until then.
  steady_time ColdUntil;
  /// Requests a second that this instance may send while it is cold.
  double ColdRate = 0;
  /// How long it stays cold after a start.
  std::chrono::milliseconds ColdTime{0};
};

struct place_request {
  /// Chosen by the caller; unique among the requests that wait.
  std::uint64_t Id = 0;
  service_handle Service;
  /// Hash of route and object; 0 is a request without an object.
  std::uint64_t Object = 0;
  /// Requests of one kind take about the same time.
  std::uint64_t Kind = 0;
  home_regions Homes;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  steady_time Arrived;
  steady_time Deadline;
  /// An answer by then counts in full.
  steady_time GoodUntil;
  std::size_t BodyBytes = 0;
  /// Has been sent to these before.
  std::vector<target_handle> Tried;
};

/// The request goes to Target now; started() has been counted.
struct place_send {
  target_handle Target;
};

/// The request waits; poll() tells its end.
struct place_wait {};

using placement_verdict = std::variant<place_send, place_wait, error>;

/// End of the wait of one request.
struct place_grant {
  std::uint64_t Id = 0;
  /// Never place_wait.
  placement_verdict Verdict;
};

enum class target_result : std::uint8_t {
  Answered,
  /// Said that it did not run the request.
  Shed,
  /// Another process answers at its address.
  Misdirected,
  /// No connection.
  Unreachable,
  /// Broke off, or gave no valid answer.
  Failed,
  /// Silent until a timeout of this instance.
  TimedOut,
  /// Ended by the caller or the deadline; says nothing about the target.
  Abandoned,
};

/// A target's own report of its load.
struct target_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
};

struct target_end {
  target_handle Target;
  std::uint64_t Object = 0;
  std::uint64_t Kind = 0;
  target_result Result = target_result::Answered;
  /// From the first byte sent to the whole answer.
  std::chrono::nanoseconds Took{0};
  std::optional<target_report> Report;
  /// The target wants no further request for this long.
  std::optional<std::chrono::milliseconds> HoldFor;
};

class placer {
public:
  explicit placer(const placer_policy &Policy) : Policy(Policy) {}

  /// Replaces all targets. What is known of a handle is kept while its Id
  /// stays the same.
  void setTargets(const std::vector<placer_target> &Targets, steady_time Now);

  /// Sends, queues or refuses. Errors, not run: NoCapacity, QueueFull.
  placement_verdict place(const place_request &Request, steady_time Now);

  /// Sends if a target has room now; never queues.
  std::optional<target_handle> placeNow(const place_request &Request,
                                        steady_time Now);

  /// Requests whose wait has ended, most urgent first.
  std::vector<place_grant> poll(steady_time Now);

  /// Removes a request that waits; false when it doesn't.
  bool cancel(std::uint64_t Id);

  void finished(const target_end &End, steady_time Now);

  /// Gives the target no new work; it is leaving. The caller sees to it that
  /// later calls of setTargets() say so, too.
  void close(target_handle Target);

  /// Whether a request that has been placed may still be sent: the target
  /// neither leaves nor has asked for a pause since.
  bool accepts(target_handle Target, steady_time Now) const;

  std::size_t waiting() const { return Waiting.size(); }
  std::size_t inFlight() const { return InFlight; }

  /// Requests on a target by the best estimate of this instance.
  double loadOf(target_handle Target, steady_time Now) const;

  /// Takes in what a peer says of its objects.
  void receive(const object_news &News, steady_time Now);
  /// What has changed here since the last call, for the peers of the region.
  std::vector<object_row> takeNews();
  /// Busy targets by what they have reported since the last call.
  std::vector<load_row> takeLoads();

  /// Expected time that a request of this kind takes on a target.
  std::chrono::nanoseconds expectedService(std::uint64_t Kind, bool Warm) const;

private:
  struct target_state {
    placer_target Info;
    bool Present = false;
    std::uint32_t InFlight = 0;
    /// Requests of other instances at ReportedAt.
    double Others = 0;
    steady_time ReportedAt;
    /// Time taken against the expected one.
    double Slowness = 1;
    /// Recent failures, 0 to 1.
    double Marks = 0;
    steady_time MarkedAt;
    std::uint32_t Failures = 0;
    steady_time PausedUntil;
    /// Cold for ColdTime after its next answer: it was unreachable.
    bool Restarted = false;
    double ColdTokens = 1;
    steady_time ColdRefilledAt;
    /// Last report that peers haven't been told.
    std::optional<std::uint32_t> Untold;
    /// Requests that wait here for this target.
    std::uint32_t Queued = 0;
  };

  struct service_times {
    double Warm = 0;
    double Cold = 0;
  };

  /// A target that handles requests about an object fast, or will.
  struct holder {
    target_handle Target;
    steady_time Used;
    /// While the first request about it runs.
    std::optional<steady_time> WarmingSince;
  };

  /// Slots of a service, to weigh its targets.
  struct service_room {
    double LocalSlots = 0;
    double RemoteSlots = 0;
    double DataCentreSlots = 0;
    std::set<std::uint8_t> Regions;
  };

  struct waiting_request {
    place_request Request;
    target_handle Target;
  };

  struct candidate {
    target_handle Target;
    double Score = 0;
  };

  struct choice {
    target_handle Target;
    double Expected = 0;
    bool HasRoom = false;
  };

  target_state *find(target_handle Target);
  const target_state *find(target_handle Target) const;
  bool usable(const target_state &Target, const place_request &Request,
              steady_time Now) const;
  bool coldAllowed(const target_state &Target, steady_time Now) const;
  double weight(const target_state &Target, bool Large) const;
  void listCandidates(const place_request &Request, steady_time Now);
  double waitSeconds(const target_state &Target, double Service,
                     steady_time Now) const;
  double expected(const target_state &Target, const place_request &Request,
                  double Service, steady_time Now) const;
  std::optional<choice> bestHolder(const place_request &Request,
                                   steady_time Now);
  std::optional<choice> bestOther(const place_request &Request,
                                  const choice *Holder, steady_time Now);
  bool isWarm(target_handle Target, std::uint64_t Object,
              steady_time Now) const;
  holder *holderOf(std::uint64_t Object, target_handle Target);
  double serviceSeconds(const place_request &Request, bool Warm) const;
  std::optional<choice> choose(const place_request &Request, steady_time Now);
  placement_verdict decide(const place_request &Request, steady_time Now,
                           target_handle &Waits);
  void start(const place_request &Request, target_handle Target,
             steady_time Now);
  void noteAnswer(target_state &Target, const target_end &End, steady_time Now);
  void noteFailure(target_state &Target, target_result Result, steady_time Now);
  void noteReport(target_state &Target, const target_report &Report,
                  steady_time Now);
  void fadeMarks(target_state &Target, steady_time Now) const;
  void remember(std::uint64_t Object, target_handle Target, bool Warm,
                steady_time Now);
  void forgetWarming(std::uint64_t Object, target_handle Target);
  void tell(std::uint64_t Object, target_handle Target, bool Warm);
  error refusal(double Seconds) const;
  error refuseAll(const place_request &Request, steady_time Now) const;

  placer_policy Policy;
  pushback_table Pushback;
  std::vector<target_state> Targets;
  /// Handles by service.
  std::vector<std::vector<target_handle>> ByService;
  std::unordered_map<std::uint64_t, service_times> Times;
  std::vector<service_room> Rooms;
  std::unordered_map<std::uint64_t, target_handle> ById;
  std::unordered_map<std::uint64_t, std::vector<holder>> Objects;
  std::vector<object_row> News;
  std::vector<target_handle> Untold;
  std::vector<waiting_request> Waiting;
  std::vector<candidate> Candidates;
  std::size_t InFlight = 0;
  std::uint64_t Draws = 0;
};

} // namespace magnoliaspread

#endif
