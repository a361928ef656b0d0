/// Messages between instances that request and grant headroom credits.
#ifndef MAGNOLIASPREAD_CREDITMSG_H
#define MAGNOLIASPREAD_CREDITMSG_H

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace magnoliaspread {

/// Services are identified by stableId() of their name, since handles differ
/// between versions of the configuration.
struct credit_request_message {
  std::uint64_t Service = 0;
  std::uint32_t Wanted = 0;
  std::uint64_t Sequence = 0;

  bool operator==(const credit_request_message &) const = default;
};

struct credit_grant_message {
  std::uint64_t Service = 0;
  std::uint32_t Count = 0;
  std::uint64_t Id = 0;
  std::uint64_t Sequence = 0;
  std::chrono::milliseconds Lifetime{};

  bool operator==(const credit_grant_message &) const = default;
};

using credit_message =
    std::variant<credit_request_message, credit_grant_message>;

/// A message to or from the instance with the name Peer.
struct peer_credit_message {
  std::string Peer;
  credit_message Message;
};

} // namespace magnoliaspread

#endif
