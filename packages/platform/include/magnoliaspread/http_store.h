/// Client of the object store over HTTP. Limits concurrency and call rate, and
/// retries with backoff until the deadline. A write whose answer was lost is
/// read back before it is retried.
#ifndef MAGNOLIASPREAD_HTTP_STORE_H
#define MAGNOLIASPREAD_HTTP_STORE_H

#include <magnoliaspread/call_pacer.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/store_protocol.h>

#include <boost/asio/io_context.hpp>
#include <memory>

namespace magnoliaspread {

struct http_store_settings {
  /// Outlives the store.
  const store_protocol *Protocol = &plainProtocol();
  endpoint_address Platform;
  pacer_settings Pace;
  /// One exchange on a connection, connecting included.
  std::chrono::milliseconds CallTimeout{1000};
  /// One operation with its retries and read-backs.
  std::chrono::milliseconds OperationTimeout{5000};
  /// A watch without an answer this long after its wait fails.
  std::chrono::milliseconds WatchSlack{1000};
  /// Connections that were idle for longer are not reused.
  std::chrono::milliseconds MaxIdle{10000};
  /// Concurrent operations, not counting watches.
  std::size_t MaxCalls = 8;
  std::size_t MaxQueuedCalls = 64;
  std::size_t MaxWatches = 8;
};

class http_store final : public object_store {
public:
  /// \p Io and \p Clock must outlive the store. \p Seed must be unpredictable
  /// and differ between processes: write ids are derived from it.
  http_store(boost::asio::io_context &Io, const http_store_settings &Settings,
             const clock &Clock, std::uint64_t Seed);
  /// Drops the completions of calls in flight.
  ~http_store() override;

  void get(get_request Request, completion<stored_object> Done) override;
  void put(put_request Request, completion<put_answer> Done) override;
  void remove(remove_request Request, completion<std::monostate> Done) override;
  void list(list_request Request, completion<object_list> Done) override;
  /// Not retried: fails with PlatformUnavailable when the connection breaks or
  /// no answer arrives after the wait; the caller then watches again.
  void watch(watch_request Request, completion<watch_answer> Done) override;
  void changes(changes_request Request,
               completion<changes_answer> Done) override;
  bool reachable() const override;
  store_era era() const override;
  std::optional<wall_time> platformTimeAtLeast() const override;
  const platform_counters &counters() const override;

private:
  class operations;
  std::shared_ptr<operations> Operations;
};

} // namespace magnoliaspread

#endif
