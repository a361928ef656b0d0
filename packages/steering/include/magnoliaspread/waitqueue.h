/// Requests that wait for a target: in which order they are tried, and which
/// one gives way when the queue is full.
///
/// With fair shares off, by urgency and arrival. With fair shares on, each
/// workspace gets slot time by its weight (start-time fair queueing), and so do
/// the priorities within it: the urgent ones first, the others not too late.
/// Reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_WAITQUEUE_H
#define MAGNOLIASPREAD_WAITQUEUE_H

#include <magnoliaspread/fairflow.h>
#include <magnoliaspread/placerequest.h>
#include <magnoliaspread/workspaceshares.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnoliaspread {

struct fair_share_policy {
  bool Enabled = false;
  /// Largest part of the queue that one workspace may fill.
  double QueuePart = 1;
};

/// Weight of a workspace by its priority.
double workspaceWeight(std::uint32_t Priority);

/// What a queued request waits for.
struct wait_reason {
  /// Invalid while the workspace has used its share.
  target_handle Target;
  /// A permit; the target has a free slot.
  bool ForPermit = false;
};

struct waiting_request {
  place_request Request;
  wait_reason Wait;
  /// Expected time in a slot.
  double SlotSeconds = 0;
};

class wait_queue {
public:
  wait_queue(std::size_t Capacity, const fair_share_policy &Policy)
      : Capacity(Capacity), Policy(Policy) {}

  bool fair() const { return Policy.Enabled; }
  void setFair(bool Enabled);
  bool empty() const { return Rows.empty(); }
  std::size_t size() const { return Rows.size(); }
  std::vector<waiting_request>::const_iterator begin() const {
    return Rows.begin();
  }
  std::vector<waiting_request>::const_iterator end() const {
    return Rows.end();
  }

  /// A request has arrived, whether or not it will wait.
  void count(const place_request &Request, double SlotSeconds, steady_time Now);
  /// False if the queue has no place for it. Otherwise a request of a workspace
  /// further over its share may have lost its place, see takeEvicted().
  bool push(waiting_request Row, steady_time Now);
  /// Ids of requests that lost their places since the last call; refused.
  std::vector<waiting_request> takeEvicted() {
    return std::exchange(Evicted, {});
  }
  bool hasEvicted() const { return !Evicted.empty(); }
  std::optional<waiting_request> remove(std::uint64_t Id);

  /// Sorts the requests in the order in which they are to be tried.
  void sort(steady_time Now);
  /// Removes those for which \p Keep is false, in order.
  void retain(const std::function<bool(waiting_request &Row)> &Keep);

  /// Whether the request's workspace has slot time left of its share.
  bool mayStart(const place_request &Request, steady_time Now) const;
  /// The request takes a slot now.
  void started(const place_request &Request, double SlotSeconds,
               steady_time Now);
  /// Expected slot time queued ahead of a new request, in seconds over all
  /// slots of the service.
  double secondsAhead(const place_request &Request, steady_time Now) const;
  /// Time until the share of the request's workspace has served what it has
  /// queued; zero unless the workspace is held to its share.
  double secondsUntilShare(const place_request &Request, steady_time Now) const;
  std::size_t waitingOf(service_handle Service, std::uint32_t Workspace) const;

  workspace_shares &shares() { return Shares; }
  const workspace_shares &shares() const { return Shares; }

private:
  /// The requests of a workspace to one service.
  struct flow : fair_flow {
    /// By priority of the route.
    std::map<std::uint32_t, fair_flow> Priorities;
    double VirtualTime = 0;
    double Queued = 0;
    std::size_t Count = 0;
  };

  static std::uint64_t keyOf(const place_request &Request) {
    return std::uint64_t{Request.Service.Index} << 32U | Request.Workspace;
  }
  flow &flowOf(const place_request &Request, steady_time Now);
  double &virtualTime(service_handle Service);
  void erase(std::size_t Index);
  void countFlows();
  std::optional<std::size_t> victim(const waiting_request &Row,
                                    steady_time Now);
  void sortFairly(steady_time Now);

  std::size_t Capacity;
  fair_share_policy Policy;
  std::vector<waiting_request> Rows;
  std::vector<waiting_request> Evicted;
  std::unordered_map<std::uint64_t, flow> Flows;
  /// By service handle.
  std::vector<double> VirtualTimes;
  workspace_shares Shares;
};

} // namespace magnoliaspread

#endif
