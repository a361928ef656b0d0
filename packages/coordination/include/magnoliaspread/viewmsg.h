/// Messages by which one instance takes over what another has read from the
/// platform, and how current it is.
#ifndef MAGNOLIASPREAD_VIEWMSG_H
#define MAGNOLIASPREAD_VIEWMSG_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/targetrecord.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Bytes of one reply's changes and names of data centres, as
/// platform_view::answer() counts them; with the other fields a reply fits a
/// datagram (wire/tests/sizes.cpp).
inline constexpr std::size_t MaxViewBytes = 1000;

struct view_ask {
  /// The asker's own time, which the reply repeats.
  boot_time AskedAt;
  /// The asker knows the targets as of this revision.
  std::uint64_t Revision = 0;
  /// Changes after Revision that earlier replies of the same instance have
  /// brought.
  std::uint32_t Skip = 0;

  bool operator==(const view_ask &) const = default;
};

struct view_reply {
  boot_time AskedAt;
  /// Of the configuration that the sender has in force; 0 is none.
  std::uint64_t Version = 0;
  /// How long ago, when the reply was sent, Version was the newest. The reply
  /// was sent after AskedAt, so Version was the newest at AskedAt - Age.
  std::chrono::milliseconds Age{0};
  /// The same for the targets at Revision; 0 is that nothing can be told.
  std::uint64_t Revision = 0;
  std::chrono::milliseconds TargetsAge{0};
  /// What has changed since the revision in the question, but for the first
  /// Skip changes; empty if Partial.
  std::vector<target_change> Changes;
  std::uint32_t Skip = 0;
  /// Further changes are left; the asker asks on.
  bool More = false;
  /// The next part comes without being asked for.
  bool Follows = false;
  /// The sender doesn't know what has changed since that revision.
  bool Partial = false;
  std::vector<std::string> Evacuated;
  /// The same for Evacuated.
  std::chrono::milliseconds EvacuatedAge{0};

  bool operator==(const view_reply &) const = default;
};

} // namespace magnoliaspread

#endif
