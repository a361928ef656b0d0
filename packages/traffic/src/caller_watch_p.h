/// Tells the requests of a connection when their caller has left.
#ifndef MAGNOLIASPREAD_CALLER_WATCH_P_H
#define MAGNOLIASPREAD_CALLER_WATCH_P_H

#include <cstdint>
#include <functional>
#include <map>

namespace magnoliaspread {

class caller_watch {
public:
  bool gone() const { return Gone; }

  /// The caller has left. Handlers must not change the subscriptions.
  void leave() {
    if (Gone)
      return;
    Gone = true;
    for (const auto &[Id, Handler] : Handlers)
      Handler();
  }

private:
  friend class caller_subscription;

  bool Gone = false;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, std::function<void()>> Handlers;
};

/// Calls a handler when the caller leaves within its lifetime.
class caller_subscription {
public:
  /// \p Watch must outlive the subscription.
  caller_subscription(caller_watch &Watch, std::function<void()> Handler)
      : Watch(Watch), Id(++Watch.LastId) {
    Watch.Handlers.emplace(Id, std::move(Handler));
  }
  ~caller_subscription() { Watch.Handlers.erase(Id); }
  caller_subscription(const caller_subscription &) = delete;
  caller_subscription &operator=(const caller_subscription &) = delete;

private:
  caller_watch &Watch;
  std::uint64_t Id;
};

} // namespace magnoliaspread

#endif
