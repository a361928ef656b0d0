/// Which answers are streamed to their callers, and the bounded window through
/// which the bytes of one pass. Pure.
#ifndef MAGNOLIASPREAD_STREAMWINDOW_H
#define MAGNOLIASPREAD_STREAMWINDOW_H

#include <magnoliaspread/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspread {

struct streaming_limits {
  /// Longest body that is gathered whole; 0 gathers all.
  std::size_t AboveBytes = 0;
  /// Bytes of a streamed body that are held at most, beside those gathered
  /// before. Not less than what a connection to a target may have buffered.
  std::size_t WindowBytes = 256u << 10;

  bool enabled() const { return AboveBytes > 0; }
};

/// An answer whose body has not been read to its end.
struct partial_body {
  /// Empty if the answer does not declare one.
  std::optional<std::uint64_t> Length;
  std::size_t Gathered = 0;
};

/// Whether the body is longer than what is gathered.
bool exceeds(const streaming_limits &Limits, const partial_body &Body);

/// Bytes between a target's connection and its caller's, in blocks that are
/// freed as they are written.
class stream_window {
public:
  static constexpr std::size_t BlockBytes = 16u << 10;

  /// \p Patience: how long a target may be left unread. \p Prefix is what was
  /// gathered before.
  stream_window(std::size_t MaxBytes, std::chrono::milliseconds Patience,
                std::string_view Prefix);

  /// Whether \p Bytes more may be read from the target. From the first call
  /// without room on, the time of the patience runs.
  bool hasRoom(std::size_t Bytes, steady_time Now);
  /// When the target has been left unread for too long.
  std::optional<steady_time> unreadUntil() const;
  void push(std::string_view Bytes);

  /// The next bytes to write, at most a block; empty if there are none. Valid
  /// until pop().
  std::string_view front();
  void pop();
  std::size_t held() const { return Held; }

private:
  std::size_t MaxBytes;
  std::chrono::milliseconds Patience;
  std::deque<std::string> Blocks;
  /// The front block is being written and takes no further bytes.
  bool FrontInUse = false;
  std::size_t Held = 0;
  std::optional<steady_time> FullSince;
};

} // namespace magnoliaspread

#endif
