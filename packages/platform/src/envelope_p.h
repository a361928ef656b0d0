/// The JSON object around each value that this client writes. Its write id
/// lets a writer determine whether a write took effect.
#ifndef MAGNOLIASPREAD_ENVELOPE_P_H
#define MAGNOLIASPREAD_ENVELOPE_P_H

#include <boost/json/value.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Earlier writes whose ids an envelope contains.
inline constexpr std::size_t MaxPriorWrites = 8;

/// Largest size of an envelope without its value.
inline constexpr std::size_t MaxEnvelopeBytes = 512;

struct envelope {
  /// Random; empty when another client wrote the value, without an envelope.
  std::string WriteId;
  /// Ids of the writes that this one is based on, latest first.
  std::vector<std::string> PriorWriteIds;
  /// JSON text.
  std::string Value;
};

/// The JSON text to store.
std::string wrapValue(const envelope &Envelope);

/// A value without an envelope is returned unchanged.
envelope unwrapValue(const boost::json::value &Stored);

} // namespace magnoliaspread

#endif
