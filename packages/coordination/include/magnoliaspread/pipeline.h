/// Order and bounds of the requests that one caller's connection has
/// unanswered. Pure.
#ifndef MAGNOLIASPREAD_PIPELINE_H
#define MAGNOLIASPREAD_PIPELINE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace magnoliaspread {

struct pipeline_limits {
  /// Unanswered requests of a connection.
  std::size_t Requests = 1;
  /// Answers that wait for those before them, and those expected of requests
  /// that run.
  std::size_t Bytes = 256u << 10;
};

enum class pipeline_order : std::uint8_t {
  /// May run beside the requests before and behind it.
  Concurrent,
  /// Runs when all before it are answered; nothing behind it starts before it
  /// is answered.
  Exclusive,
};

/// The unanswered requests of one connection, numbered in the order in which
/// they came. Answers are written in that order.
class pipeline {
public:
  explicit pipeline(const pipeline_limits &Limits) : Limits(Limits) {}

  /// Whether a further request may be read. A concurrent one may start when it
  /// has been added.
  bool mayRead() const;
  std::uint64_t add(pipeline_order Order);
  bool mayStart(std::uint64_t Number) const;

  /// The answer to request \p Number is complete.
  void answered(std::uint64_t Number, std::size_t Bytes);
  /// The next request whose answer is to be written, if that is complete.
  std::optional<std::uint64_t> nextAnswer() const;
  /// The answer to the oldest request has been written, or its connection is
  /// lost.
  void written();

  /// Nothing more is read: the last request was added, or the caller has left.
  void close() { Closed = true; }
  bool closed() const { return Closed; }

  bool empty() const { return Rows.empty(); }
  std::size_t size() const { return Rows.size(); }

private:
  struct row {
    pipeline_order Order;
    /// Of the complete answer.
    std::optional<std::size_t> Bytes;
  };

  bool hasRoomForAnswer() const;

  pipeline_limits Limits;
  std::deque<row> Rows;
  /// Number of the oldest unanswered request.
  std::uint64_t First = 1;
  /// Largest answer of this connection.
  std::size_t LargestAnswer = 0;
  bool Closed = false;
};

} // namespace magnoliaspread

#endif
