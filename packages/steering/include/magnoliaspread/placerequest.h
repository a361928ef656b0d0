/// A request to be placed on a target.
#ifndef MAGNOLIASPREAD_PLACEREQUEST_H
#define MAGNOLIASPREAD_PLACEREQUEST_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// Allowed regions by their number in the settings; none set allows all.
using home_regions = std::bitset<32>;

struct place_request {
  /// Chosen by the caller; unique among the requests that wait.
  std::uint64_t Id = 0;
  service_handle Service;
  /// Hash of route and object; 0 for a request without an object.
  std::uint64_t Object = 0;
  /// Class of requests with similar service times.
  std::uint64_t Kind = 0;
  /// Regions that may handle the request.
  home_regions Homes;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  steady_time Arrived;
  steady_time Deadline;
  /// Latency target; a later answer counts as late.
  steady_time GoodUntil;
  std::size_t BodyBytes = 0;
  /// Targets of earlier attempts.
  std::vector<target_handle> Tried;
  /// Index of the workspace; 0 for a request without one.
  std::uint32_t Workspace = 0;
};

} // namespace magnoliaspread

#endif
