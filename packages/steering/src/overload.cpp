#include <magnoliaspread/overload.h>

#include <numeric>

namespace magnoliaspread {

namespace {

constexpr std::chrono::seconds RecoveryTime{2};

} // namespace

std::uint64_t admission_counts::rejectedAtOnce() const {
  return std::accumulate(Rejected.begin(), Rejected.end(), std::uint64_t(0)) -
         rejected(admission_reason::Expired);
}

void overload_states::noteRejected(service_handle Service,
                                   admission_reason Reason,
                                   const rejection_inputs &Inputs,
                                   steady_time Now) {
  const auto Index = static_cast<std::size_t>(Reason);
  ++Counts.Rejected[Index];
  if (Service.Index >= Services.size())
    Services.resize(Service.Index + 1U);
  service_row &Row = Services[Service.Index];
  if (!Row.State.Overloaded) {
    Row.State = {Service, true, Inputs, {}};
    Row.Told = false;
    ++Counts.OverloadedServices;
  }
  ++Row.State.Rejected[Index];
  Row.RejectedAt = Now;
}

std::vector<overload_change> overload_states::take(steady_time Now) {
  std::vector<overload_change> Changes;
  for (service_row &Row : Services) {
    if (!Row.State.Overloaded)
      continue;
    if (Now - Row.RejectedAt >= RecoveryTime) {
      Row.State.Overloaded = false;
      --Counts.OverloadedServices;
      Changes.push_back(Row.State);
    } else if (!Row.Told) {
      Row.Told = true;
      Changes.push_back(Row.State);
    }
  }
  return Changes;
}

} // namespace magnoliaspread
