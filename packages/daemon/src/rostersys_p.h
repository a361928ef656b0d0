/// Keeps this instance's registration in the platform, and the roster of its
/// region.
#ifndef MAGNOLIASPREAD_ROSTERSYS_P_H
#define MAGNOLIASPREAD_ROSTERSYS_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/roster.h>
#include <magnoliaspread/settings.h>

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliaspread {

/// The roster as peers fetch it.
inline constexpr const char *RosterPath = "/-/roster";

class roster_system {
public:
  roster_system(object_store &Store, const clock &Clock,
                const instance_settings &Settings, std::uint64_t Incarnation,
                std::uint64_t Seed);

  /// Starts the reads and writes that are due. \p IsReader is true if this
  /// instance reads the platform for its region.
  void tick(bool IsReader, const instance_roster::live_predicate &IsLive);
  void leave();
  void historyLost(store_era Era);
  void liveInstancesChanged() { Roster.readSoon(); }

  const instance_roster &roster() const { return Roster; }
  /// True if the rows of a peer with this stamp must be fetched.
  bool hearPeer(const roster_stamp &Peer) { return Roster.hearPeer(Peer); }
  /// The rows, for peers.
  std::string rowsText() const;
  /// Applies rowsText() of a peer, which had them at \p AsOf or later. Errors:
  /// BadRequest.
  status applyRowsText(std::string_view Text, boot_time AsOf);

  /// Internal addresses of the others that are registered.
  const std::vector<seed_address> &seeds() const { return Seeds; }
  /// True if seeds() has changed since the last call.
  bool takeSeedsChanged() { return std::exchange(SeedsChanged, false); }

private:
  void list();
  void pollChanges();
  void writeOwn(const registration_write &Write);
  void mark(const registration_write &Write);
  bool store(const stored_object &Object);
  void updateSeeds();
  void logRoster();

  object_store &Store;
  const clock &Clock;
  const instance_settings &Settings;
  std::uint64_t Incarnation;
  std::mt19937_64 Random;
  instance_roster Roster;
  /// Registrations by name, as far as they can be read.
  std::map<std::string, registration> Registrations;
  std::map<std::string, seed_address> Addresses;
  /// Their JSON text, to write another state.
  std::map<std::string, std::string> Records;
  std::vector<seed_address> Seeds;
  bool SeedsChanged = false;
  std::uint64_t LoggedHash = 0;
  bool LoggedMinting = false;
};

/// Name of the platform object in which an instance registers its addresses.
std::string instanceObjectName(const std::string &Instance);

} // namespace magnoliaspread

#endif
