/// A small fleet of daemon processes with stand-ins for platform and targets.
#ifndef MAGNOLIASPREAD_E2E_FLEET_H
#define MAGNOLIASPREAD_E2E_FLEET_H

#include "client.h"
#include "process.h"

#include <chrono>
#include <functional>
#include <magnoliaspread/table.h>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspread {

struct fleet_plan {
  /// Regions with their data centres, such as {{"north", 2}}.
  struct region {
    std::string Name;
    std::size_t DataCentres = 1;
  };
  std::vector<region> Regions{{"north", 1}};
  std::size_t InstancesPerDataCentre = 2;
  std::size_t TargetsPerDataCentre = 2;
  std::uint32_t Slots = 4;
  double Rate = 1000;
  double Burst = 1000;
  std::chrono::milliseconds Work{2};
  std::chrono::milliseconds LookupTtl{500};
  std::chrono::milliseconds LeaseTtl{2000};
  std::chrono::milliseconds DrainTimeout{15000};
  /// Changes the table before the processes start.
  std::function<void(config_table &)> Edit = [](config_table &) {};
};

struct fleet_instance {
  std::string Name;
  std::string DataCentre;
  std::uint16_t Public = 0;
  std::uint16_t Internal = 0;
  std::uint16_t Admin = 0;
  std::string SettingsFile;
  std::string LogFile;
  std::unique_ptr<process> Process;
};

class fleet {
public:
  /// Starts all processes and waits until every instance serves requests.
  explicit fleet(const fleet_plan &Plan);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  void start(fleet_instance &Instance);
  bool waitReady(const fleet_instance &Instance) const;
  /// Waits until a request through the instance is answered: limits have no
  /// tokens in the first seconds after a fleet's first start.
  bool waitServing(const fleet_instance &Instance) const;
  fleet_instance &instance(const std::string &Name);

  /// Keys of the workspaces "alpha" and "beta".
  static std::string keyOf(const std::string &Workspace);

  /// Increments the version of Table and writes it to the platform.
  void putTable();
  http_answer platform(const http_call &Call) const;
  /// Sets faults of the stand-in platform, as JSON.
  void platformFaults(const std::string &Json) const;
  /// Sets faults of stand-in targets, as JSON.
  void targetFaults(const std::string &Json) const;
  /// What the stand-in targets recorded.
  boost::json::object record() const;
  std::uint64_t runsOf(const std::string &Workspace) const;
  /// Logs of all instances.
  std::string logs() const;

  config_table Table;
  std::vector<fleet_instance> Instances;

private:
  void makeTable(const fleet_plan &Plan);
  void makeInstances(const fleet_plan &Plan);
  std::string settingsText(const fleet_instance &Instance,
                           const fleet_plan &Plan) const;
  void startPlatform();
  void startTargets(const fleet_plan &Plan);

  std::string Folder;
  std::unique_ptr<process> Platform;
  std::unique_ptr<process> Targets;
  std::uint16_t PlatformPort = 0;
  std::uint16_t TargetPort = 0;
};

/// Polls \p Condition until it holds or \p Limit has passed; returns its last
/// result.
bool eventually(std::chrono::milliseconds Limit,
                const std::function<bool()> &Condition);

} // namespace magnoliaspread

#endif
