/// Takes the targets of a service in turn; the baseline of the steering.
#ifndef MAGNOLIASPREAD_ROUNDROBIN_P_H
#define MAGNOLIASPREAD_ROUNDROBIN_P_H

#include "dispatch_p.h"

#include <vector>

namespace magnoliaspread {

class round_robin_dispatcher final : public dispatcher {
public:
  void publish(traffic_view_ptr NewView) override { View = std::move(NewView); }
  asio::awaitable<result<placement>>
  place(const placement_request &Request) override;
  void finished(const placement & /*Place*/,
                const relay_outcome & /*Outcome*/) override {}

private:
  traffic_view_ptr View;
  std::size_t Next = 0;
};

} // namespace magnoliaspread

#endif
