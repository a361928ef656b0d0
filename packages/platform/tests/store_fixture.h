/// Runs http_store clients and the platform stand-in on one io_context.
#ifndef MAGNOLIASPREAD_STORE_FIXTURE_H
#define MAGNOLIASPREAD_STORE_FIXTURE_H

#include "platform_server.h"

#include <magnoliaspread/http_store.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <memory>
#include <optional>

namespace magnoliaspread {

/// Longest time that a test waits for a completion.
inline constexpr std::chrono::seconds MaxTestWait{20};

class store_fixture {
public:
  store_fixture() : Server(Io, 0) {}

  /// Settings with short times for tests.
  http_store_settings settings() const {
    http_store_settings Settings;
    Settings.Platform.Port = Server.port();
    Settings.Pace = {10000, 1000, std::chrono::milliseconds(1),
                     std::chrono::milliseconds(20)};
    Settings.CallTimeout = std::chrono::milliseconds(100);
    Settings.OperationTimeout = std::chrono::milliseconds(2000);
    Settings.WatchSlack = std::chrono::milliseconds(50);
    return Settings;
  }

  std::unique_ptr<http_store> makeStore(const http_store_settings &Settings,
                                        std::uint64_t Seed = 1) {
    return std::make_unique<http_store>(Io, Settings, Clock, Seed);
  }

  /// Runs until \p Done() or MaxTestWait.
  template <class Condition> bool runUntil(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + MaxTestWait;
    Io.restart();
    while (!Done() && std::chrono::steady_clock::now() < End)
      Io.run_one_for(std::chrono::milliseconds(50));
    return Done();
  }

  void runFor(std::chrono::milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }

  /// Calls \p Start with a completion and waits for its result.
  template <class T, class Function> result<T> await(Function Start) {
    std::optional<result<T>> Answer;
    Start([&Answer](result<T> Result) { Answer = std::move(Result); });
    CPPUNIT_ASSERT(!Answer);
    CPPUNIT_ASSERT(runUntil([&] { return Answer.has_value(); }));
    return std::move(*Answer);
  }

  result<stored_object> get(object_store &Store, const std::string &Name) {
    return await<stored_object>([&](completion<stored_object> Done) {
      Store.get({Name}, std::move(Done));
    });
  }

  result<put_answer> put(object_store &Store, put_request Request) {
    return await<put_answer>([&](completion<put_answer> Done) {
      Store.put(std::move(Request), std::move(Done));
    });
  }

  result<std::monostate> remove(object_store &Store, remove_request Request) {
    return await<std::monostate>([&](completion<std::monostate> Done) {
      Store.remove(std::move(Request), std::move(Done));
    });
  }

  result<object_list> list(object_store &Store, const std::string &Prefix) {
    return await<object_list>([&](completion<object_list> Done) {
      Store.list({Prefix}, std::move(Done));
    });
  }

  result<watch_answer> watch(object_store &Store, watch_request Request) {
    return await<watch_answer>([&](completion<watch_answer> Done) {
      Store.watch(std::move(Request), std::move(Done));
    });
  }

  boost::asio::io_context Io;
  system_clock Clock;
  platform_server Server;
};

template <class T> bool failedWith(const result<T> &Result, error_kind Kind) {
  return failed(Result) && errorOf(Result).Kind == Kind;
}

} // namespace magnoliaspread

#endif
