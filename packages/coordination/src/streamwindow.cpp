#include <magnoliaspread/streamwindow.h>

#include <algorithm>

namespace magnoliaspread {

bool exceeds(const streaming_limits &Limits, const partial_body &Body) {
  return Limits.enabled() && (Body.Gathered > Limits.AboveBytes ||
                              Body.Length.value_or(0) > Limits.AboveBytes);
}

stream_window::stream_window(std::size_t MaxBytes,
                             std::chrono::milliseconds Patience,
                             std::string_view Prefix)
    : MaxBytes(MaxBytes), Patience(Patience) {
  push(Prefix);
}

bool stream_window::hasRoom(std::size_t Bytes, steady_time Now) {
  if (Held + Bytes <= MaxBytes) {
    FullSince.reset();
    return true;
  }
  if (!FullSince)
    FullSince = Now;
  return false;
}

std::optional<steady_time> stream_window::unreadUntil() const {
  if (!FullSince)
    return std::nullopt;
  return *FullSince + Patience;
}

void stream_window::push(std::string_view Bytes) {
  Held += Bytes.size();
  while (!Bytes.empty()) {
    const bool Fresh = Blocks.empty() || Blocks.back().size() == BlockBytes ||
                       (Blocks.size() == 1 && FrontInUse);
    if (Fresh)
      Blocks.emplace_back().reserve(std::min(Bytes.size(), BlockBytes));
    std::string &Last = Blocks.back();
    const std::size_t Count = std::min(Bytes.size(), BlockBytes - Last.size());
    Last.append(Bytes.substr(0, Count));
    Bytes.remove_prefix(Count);
  }
}

std::string_view stream_window::front() {
  if (Blocks.empty())
    return {};
  FrontInUse = true;
  return Blocks.front();
}

void stream_window::pop() {
  Held -= Blocks.front().size();
  Blocks.pop_front();
  FrontInUse = false;
}

} // namespace magnoliaspread
