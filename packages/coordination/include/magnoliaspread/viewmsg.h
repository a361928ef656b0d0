/// Messages that share what one instance has read from the platform, and how
/// current it is, with others.
#ifndef MAGNOLIASPREAD_VIEWMSG_H
#define MAGNOLIASPREAD_VIEWMSG_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/storeversion.h>
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

struct view_request {
  /// On the requester's clock; echoed in the reply.
  boot_time AskedAt;
  /// The requester has the targets at this revision.
  std::uint64_t Revision = 0;
  /// Changes after Revision already received from the same instance.
  std::uint32_t Skip = 0;
  /// The era of Revision.
  store_era Era = 0;

  bool operator==(const view_request &) const = default;
};

struct view_reply {
  boot_time AskedAt;
  /// Version of the configuration in force on the sender; 0 if none.
  std::uint64_t Version = 0;
  /// Time since Version was confirmed the newest, when the reply was sent. That
  /// is after AskedAt, so Version was the newest at AskedAt - Age.
  std::chrono::milliseconds Age{0};
  /// The same for the targets at Revision; a Revision of 0 means unknown.
  std::uint64_t Revision = 0;
  std::chrono::milliseconds TargetsAge{0};
  /// Changes since the requested revision without the first Skip ones; empty if
  /// the sender doesn't know them all.
  std::vector<target_change> Changes;
  std::uint32_t Skip = 0;
  /// More changes are left; the requester continues.
  bool More = false;
  /// The next part follows without a request.
  bool Follows = false;
  /// The sender doesn't know all changes since the requested revision.
  bool ChangesUnknown = false;
  std::vector<std::string> Evacuated;
  /// Same as Age for Evacuated.
  std::chrono::milliseconds EvacuatedAge{0};
  /// The highest era that the sender heard of.
  store_era Era = 0;
  /// The eras of Revision, of the answer that Age counts from, and of
  /// Evacuated.
  store_era TargetsEra = 0;
  store_era RoutesEra = 0;
  store_era EvacuatedEra = 0;
  /// Of the sender's roster of its region (roster.h); 0 if it knows none.
  std::uint64_t RosterHash = 0;
  /// Same as Age for the roster.
  std::chrono::milliseconds RosterAge{0};
  store_era RosterEra = 0;

  bool operator==(const view_reply &) const = default;
};

} // namespace magnoliaspread

#endif
