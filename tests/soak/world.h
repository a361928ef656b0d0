/// Instances as real processes, with stand-ins of the platform's store and of
/// targets behind proxies, callers, and notes of what each of them saw.
#ifndef MAGNOLIASPREAD_SOAK_WORLD_H
#define MAGNOLIASPREAD_SOAK_WORLD_H

#include "proxy.h"

#include <process.h>
#include <standin.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace magnoliaspread {

using soak_time = std::chrono::steady_clock::time_point;

/// One request as its caller saw it.
struct sent_request {
  std::string Id;
  std::string Key;
  bool Repeatable = true;
  /// Crashes each target that runs it.
  bool Crashes = false;
  soak_time SentAt;
  unsigned Status = 0;
  std::string Signature;
  std::string EchoedId;
  std::string Body;
};

struct soak_instance {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  std::string InternalHost;
  std::uint16_t Public = 0;
  std::uint16_t Admin = 0;
  std::uint16_t Directory = 0;
  std::uint16_t Ready = 0;
  std::unique_ptr<fault_proxy> Store;
  std::optional<process> Process;
  bool Paused = false;
  /// Was told to end, and when; its exit code is checked then.
  std::optional<soak_time> Ending;
  /// A fault excuses an end that is late.
  bool Disturbed = false;
};

struct soak_target {
  std::string DataCentre;
  std::unique_ptr<target_standin> Target;
  std::unique_ptr<fault_proxy> Link;
};

class soak_world {
public:
  soak_world(const std::string &Folder);
  ~soak_world();
  soak_world(const soak_world &) = delete;
  soak_world &operator=(const soak_world &) = delete;

  void start(soak_instance &Instance);
  bool ready(const soak_instance &Instance) const;
  bool waitAllReady(std::chrono::milliseconds Limit);

  /// Puts the next version of the configuration; once \p WithoutKey is set,
  /// the key "key-gone" is left out for good.
  void configure(bool WithoutKey);
  void putTarget(const soak_target &Target, const std::string &State);

  /// From now on a request that crashes its targets comes again and again, at
  /// any instance, until the callers stop.
  void startCrashes();
  void startCallers();
  void stopCallers();
  /// One request through the instance, noted like those of the callers.
  sent_request send(const soak_instance &Instance, const std::string &Key,
                    bool Repeatable, bool Crashes = false);
  std::vector<sent_request> sent() const;

  store_standin Store;
  std::vector<soak_instance> Instances;
  std::vector<soak_target> Targets;
  /// When the configuration without "key-gone" was acknowledged.
  std::optional<soak_time> Withdrawn;

private:
  void callerLoop(unsigned Number);
  void crashLoop();
  std::string settingsOf(const soak_instance &Instance) const;

  std::string Folder;
  std::uint16_t InternalPort = freePort();
  int Version = 0;
  bool KeyGone = false;
  std::atomic<bool> Calling = false;
  std::atomic<std::uint64_t> NextId = 0;
  std::vector<std::thread> Callers;
  mutable std::mutex Mutex;
  std::vector<sent_request> Sent;
};

/// Rate and burst of the workspace "small".
inline constexpr int SmallRate = 30;

} // namespace magnoliaspread

#endif
