/// The JSON object around each value that this client writes. It names the
/// write, so that a writer can find out whether a write took effect.
#ifndef MAGNOLIASPREAD_ENVELOPE_P_H
#define MAGNOLIASPREAD_ENVELOPE_P_H

#include <boost/json/value.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Writes before the present one whose ids an envelope keeps.
inline constexpr std::size_t MaxPriorWrites = 8;

/// Room that an envelope takes around the value.
inline constexpr std::size_t MaxEnvelopeBytes = 512;

struct envelope {
  /// Random; empty when the value was written by someone else.
  std::string WriteId;
  /// Ids of the writes that this one was built on, latest first.
  std::vector<std::string> PriorWriteIds;
  /// JSON text.
  std::string Value;
};

/// The JSON text to store.
std::string wrapValue(const envelope &Envelope);

/// Takes a value that has no envelope as it is.
envelope unwrapValue(const boost::json::value &Stored);

} // namespace magnoliaspread

#endif
