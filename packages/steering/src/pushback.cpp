#include <magnoliaspread/pushback.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

const pushback_table::row *pushback_table::find(target_handle Target) const {
  return Target.valid() && Target.Index < Rows.size() ? &Rows[Target.Index]
                                                      : nullptr;
}

steady_time pushback_table::pause(target_handle Target, milliseconds Time,
                                  steady_time Now) {
  if (Target.Index >= Rows.size())
    Rows.resize(Target.Index + 1U);
  row &Row = Rows[Target.Index];
  const steady_time Until =
      Now + std::clamp(Time, milliseconds(0), Policy.MaxPause);
  Row.Until = Row.PushedBack ? std::max(Row.Until, Until) : Until;
  Row.PushedBack = true;
  return Row.Until;
}

void pushback_table::answered(target_handle Target, steady_time Now) {
  // An answer to a request sent before the pause doesn't end it.
  if (access(Target, Now) == target_access::Probing)
    forget(Target);
}

void pushback_table::forget(target_handle Target) {
  if (Target.valid() && Target.Index < Rows.size())
    Rows[Target.Index] = {};
}

target_access pushback_table::access(target_handle Target,
                                     steady_time Now) const {
  const row *Row = find(Target);
  if (Row == nullptr || !Row->PushedBack)
    return target_access::Open;
  return Now < Row->Until ? target_access::Paused : target_access::Probing;
}

std::optional<steady_time> pushback_table::pausedUntil(target_handle Target,
                                                       steady_time Now) const {
  if (access(Target, Now) != target_access::Paused)
    return std::nullopt;
  return find(Target)->Until;
}

} // namespace magnoliaspread
