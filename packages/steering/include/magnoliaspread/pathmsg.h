/// Messages with which instances tell each other whether they reach targets.
#ifndef MAGNOLIASPREAD_PATHMSG_H
#define MAGNOLIASPREAD_PATHMSG_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace magnoliaspread {

/// This instance's own path to the targets.
enum class path_state : std::uint8_t {
  Working,
  /// Many targets fail at once; probes and peers tell which side is at fault.
  Suspect,
  /// Peers reach targets and this instance doesn't.
  Broken,
};

constexpr std::string_view nameOf(path_state State) {
  switch (State) {
  case path_state::Working:
    return "working";
  case path_state::Suspect:
    return "suspect";
  case path_state::Broken:
    break;
  }
  return "broken";
}

/// Asks what the receiver hears from targets.
struct path_query {
  std::uint64_t Round = 0;

  bool operator==(const path_query &) const = default;
};

/// The answer to a query, or an announcement of a new state.
struct path_report {
  /// Of the query; 0 in an announcement.
  std::uint64_t Round = 0;
  path_state State = path_state::Working;
  /// Since the sender last heard from any target; empty if it never did.
  std::optional<std::chrono::milliseconds> HeardAge;

  bool operator==(const path_report &) const = default;
};

using path_message = std::variant<path_query, path_report>;

} // namespace magnoliaspread

#endif
