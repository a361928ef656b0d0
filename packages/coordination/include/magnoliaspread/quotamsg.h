/// Messages by which instances lend tokens to each other.
#ifndef MAGNOLIASPREAD_QUOTAMSG_H
#define MAGNOLIASPREAD_QUOTAMSG_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Hash of the limit's name: the same in every process and configuration.
using limit_id = std::uint32_t;

/// Thousandths of a token: a request, or a byte of a link.
using milli_tokens = std::int64_t;

inline constexpr milli_tokens MilliPerToken = 1000;

/// The limit on a workspace's requests.
limit_id workspaceLimit(std::string_view Workspace);

/// The limit on the bytes from one region to another.
limit_id linkLimit(std::string_view From, std::string_view To);

struct token_request_row {
  limit_id Limit = 0;
  /// Tokens requested.
  milli_tokens Want = 0;
  /// Part of Want that callers are waiting for; may be lent from the lender's
  /// reserve.
  milli_tokens Urgent = 0;
  /// Unspent tokens that the borrower still has from this lender.
  milli_tokens Held = 0;
  /// Tokens returned unspent since the borrower started.
  milli_tokens Returned = 0;

  bool operator==(const token_request_row &) const = default;
};

/// Requests tokens and reports on earlier loans. A limit without a row is
/// unchanged since the last report. Supersedes every earlier one: grants for
/// those are dropped by the borrower.
struct token_request {
  /// Of the borrower.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Newest request whose grant was accepted.
  std::uint64_t Accepted = 0;
  std::vector<token_request_row> Rows;

  bool operator==(const token_request &) const = default;
};

struct grant_row {
  limit_id Limit = 0;
  milli_tokens Tokens = 0;
  /// What the lender could lend on top.
  milli_tokens Left = 0;
  /// Tokens per second that the lender mints beyond its own demand.
  milli_tokens SparePerSecond = 0;
  /// Tokens per second that the lender mints.
  milli_tokens MintedPerSecond = 0;

  bool operator==(const grant_row &) const = default;
};

/// Answer to one request. The tokens expire TokenLife after it was sent.
struct token_grant {
  /// Of the borrower, from its request.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Version of the lender's active configuration.
  std::uint64_t ConfigVersion = 0;
  /// Shares that the lender mints.
  std::uint32_t Shares = 0;
  std::vector<grant_row> Rows;

  bool operator==(const token_grant &) const = default;
};

struct outgoing_token_request {
  /// Name of the instance to send it to.
  std::string To;
  token_request Ask;
};

} // namespace magnoliaspread

#endif
