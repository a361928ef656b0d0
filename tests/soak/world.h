/// Instances as processes, with stand-ins for the platform's store and for
/// targets behind fault proxies, and callers that record every request.
#ifndef MAGNOLIASPREAD_SOAK_WORLD_H
#define MAGNOLIASPREAD_SOAK_WORLD_H

#include "proxy.h"

#include <client.h>
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

/// One request and the answer that its caller received.
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
  /// When SIGTERM was sent; its exit code is checked after that.
  std::optional<soak_time> TerminatedAt;
  /// A fault excuses an exit after the grace period.
  bool LateExitExcused = false;
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
  /// Stops an instance for good and starts one with another name and address in
  /// its place.
  void replace(soak_instance &Instance);
  bool ready(const soak_instance &Instance) const;
  bool waitAllReady(std::chrono::milliseconds Limit);

  /// Stores the next version of the configuration. After a call with
  /// \p WithoutKey every later version omits the key "key-gone" too.
  void configure(bool WithoutKey);
  /// Adds workspaces with the key "key-" and their name to every later version.
  void addWorkspaces(const std::vector<std::string> &Names, int Rate);
  void putTarget(const soak_target &Target, const std::string &State);

  /// Sends requests that crash their targets to random instances until the
  /// callers stop.
  void startCrashes();
  void startCallers();
  void stopCallers();
  /// Sends one request and records it like those of the callers.
  sent_request send(const soak_instance &Instance, const std::string &Key,
                    bool Repeatable, bool Crashes = false);
  /// Sends \p Count repeatable requests on one connection before the first is
  /// answered.
  void sendPipelined(const soak_instance &Instance, const std::string &Key,
                     std::size_t Count);
  std::vector<sent_request> sent() const;

  store_standin Store;
  std::vector<soak_instance> Instances;
  std::vector<soak_target> Targets;
  /// When the store acknowledged the configuration without "key-gone".
  std::optional<soak_time> KeyWithdrawnAt;

private:
  void callerLoop(unsigned Number);
  void crashLoop();
  sent_request newRequest(const std::string &Key, bool Repeatable,
                          bool Crashes);
  void record(sent_request &Request, const http_answer &Answer);
  std::string settingsOf(const soak_instance &Instance) const;

  std::string Folder;
  std::uint16_t InternalPort = freePort();
  int NextHost = 20;
  /// The fleet starts for the first time.
  bool FirstStart = true;
  int Version = 0;
  boost::json::array AddedWorkspaces;
  bool KeyWithdrawn = false;
  std::atomic<bool> Calling = false;
  std::atomic<std::uint64_t> NextId = 0;
  std::vector<std::thread> Callers;
  mutable std::mutex Mutex;
  std::vector<sent_request> Sent;
};

/// Requests a second, and burst, of the workspace "small".
inline constexpr int SmallRate = 30;

} // namespace magnoliaspread

#endif
