/// Codec of control datagrams: a Thrift body in an authenticated frame.
///
/// Frame, numbers big-endian: magic (2 bytes), format version (1), sender's
/// incarnation (8), sequence (8), body in the compact protocol, keyed
/// BLAKE2b tag (16) over everything before it.
#ifndef MAGNOLIASPREAD_DATAGRAM_H
#define MAGNOLIASPREAD_DATAGRAM_H

#include <magnoliaspread/creditmsg.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/membermsg.h>
#include <magnoliaspread/objectmsg.h>
#include <magnoliaspread/pathmsg.h>
#include <magnoliaspread/quarantinemsg.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/replay.h>
#include <magnoliaspread/sharemsg.h>
#include <magnoliaspread/targetlimitmsg.h>
#include <magnoliaspread/viewmsg.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace magnoliaspread {

/// Largest datagram in bytes, frame included; never fragmented on the way.
inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Largest snapshot of a peer, in bytes: MaxTargets of 256 bytes each.
inline constexpr std::size_t MaxSnapshotBytes = 1u << 20;
inline constexpr std::size_t FleetKeyBytes = 32;
inline constexpr std::size_t DatagramHeaderBytes = 19;
inline constexpr std::size_t DatagramTagBytes = 16;
/// Longest name of an instance, data centre or region, in bytes.
inline constexpr std::size_t MaxNameBytes = 64;
/// Most elements of any list in a datagram.
inline constexpr std::size_t MaxDatagramListRows = 256;

using quota_message =
    std::variant<token_request, token_grant, promise_request, promise_reply>;

using control_message =
    std::variant<member_message, quota_message, quarantine_update,
                 credit_message, object_update, view_request, view_reply,
                 target_limit_message, path_message>;

using fleet_key = std::array<unsigned char, FleetKeyBytes>;

/// Parses the fleet secret of the settings: 32 bytes in hex, else BadSettings.
result<fleet_key> parseFleetKey(std::string_view Hex);

struct received_datagram {
  /// Incarnation of the sending process.
  std::uint64_t Sender = 0;
  std::uint64_t Sequence = 0;
  control_message Message;
};

class datagram_codec {
public:
  /// \p Incarnation is that of this process.
  datagram_codec(const fleet_key &Key, std::uint64_t Incarnation)
      : Key(Key), Incarnation(Incarnation) {}

  /// One datagram, which may be sent to several receivers. BadDatagram if the
  /// message is larger than MaxDatagramBytes.
  result<std::string> encode(const control_message &Message);

  /// Verifies and decodes one datagram. BadDatagram: malformed, received
  /// before, or sent by this process. ForgedDatagram: the tag doesn't match the
  /// fleet's key.
  result<received_datagram> decode(std::string_view Datagram);

private:
  fleet_key Key;
  std::uint64_t Incarnation;
  std::uint64_t LastSequence = 0;
  replay_filter Replays;
};

/// The body alone; \p Sender is the incarnation that its frame carries.
result<std::string> encodeBody(const control_message &Message,
                               std::uint64_t Sender);
result<control_message> decodeBody(std::string_view Body, std::uint64_t Sender);

/// Snapshot of the platform's targets and evacuated data centres as an instance
/// knows them; not limited to the size of a datagram. BadDatagram when \p Text
/// is truncated, out of range or larger than MaxSnapshotBytes.
result<std::string> encodeSnapshot(const view_reply &Reply);
result<view_reply> decodeSnapshot(std::string_view Text);

} // namespace magnoliaspread

#endif
