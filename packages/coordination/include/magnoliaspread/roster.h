/// The instances of a region that share its limits, as registered in the
/// platform, and this instance's own registration.
///
/// Who mints a share of a limit follows from the roster alone, so each instance
/// knows it without asking the others. What keeps two of them from minting the
/// same share:
///  - An instance uses a roster for Lease after it was confirmed current.
///  - A new instance registers as Joining and as Live a Lease later. From
///    Joining on it counts when shares are assigned, but only a Live one mints.
///  - One that stops by itself mints nothing from the moment at which it
///    registers as Leaving.
///  - One that is silent is marked Suspect by another, and Gone if it doesn't
///    object. Its shares are minted by others a Lease after they learned that.
///  - A restart under a name that is still registered as Live continues; it
///    replaces the registration first, so that no late write of the process
///    before it takes effect.
/// Times on the boot clock count while the machine is suspended. No I/O.
#ifndef MAGNOLIASPREAD_ROSTER_H
#define MAGNOLIASPREAD_ROSTER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/storeversion.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

enum class registration_state : std::uint8_t {
  Joining,
  Live,
  /// Live, but another instance has not heard of it lately.
  Suspect,
  Leaving,
  Gone
};

std::string_view nameOf(registration_state State);
std::optional<registration_state> registrationState(std::string_view Name);

/// The object of an instance in the platform.
struct registration {
  std::string Name;
  std::string Region;
  /// Where the process listens for other instances.
  std::string Address;
  registration_state State = registration_state::Live;
  /// Of the process that wrote it; 0 if unknown.
  std::uint64_t Incarnation = 0;
  /// Version of the object; 0 if unknown.
  std::uint64_t Version = 0;
};

struct roster_row {
  std::string Name;
  registration_state State = registration_state::Live;

  bool operator==(const roster_row &) const = default;
};

/// How current an instance's roster is; the rows are fetched when hashes
/// differ.
struct roster_stamp {
  std::uint64_t Hash = 0;
  boot_time AsOf;
  store_era Era = 0;
};

struct roster_settings {
  std::string Instance;
  std::string Region;
  std::string Address;
  std::uint64_t Incarnation = 0;
  /// The fleet starts for the first time: nobody has registered before.
  bool FirstStart = false;
  /// False if no limits depend on the roster: instances register as Live at
  /// once and nobody marks others.
  bool Leases = true;
  /// How long a roster is used after it was current. Bears two lost reads
  /// (ReadLimit) and is longer than keys are accepted unconfirmed.
  std::chrono::milliseconds Lease{6000};
  /// Covers clocks that run at rates that differ by 5%, and delays of messages.
  std::chrono::milliseconds LeaseMargin{500};
  /// Interval between the reads of the region's reader.
  std::chrono::milliseconds ReadPeriod{1800};
  /// Interval between the lists of an instance that isn't the reader, for the
  /// addresses of the others.
  std::chrono::milliseconds ListPeriod{60000};
  /// Minimum interval between reads that a change of the live instances causes.
  std::chrono::milliseconds ChangeReadPeriod{600};
  /// An instance whose roster was confirmed longer ago reads it itself.
  std::chrono::milliseconds ReadLimit{3300};
  /// In a first start an instance registers as Live within this time of its own
  /// start; the list is read after all others have registered, too. Instances
  /// start within 0.3 s of each other (DEPLOY), and slow ones take half a
  /// second to register.
  std::chrono::milliseconds FirstReadAfter{1000};
  std::chrono::milliseconds FirstStartWindow{3000};
  /// A Live instance that isn't alive for this long is marked Suspect. Members
  /// count as dead after DeadAfter without a heartbeat.
  std::chrono::milliseconds SuspectAfter{2000};
  /// The same for one that this instance has never heard of.
  std::chrono::milliseconds UnseenAfter{8000};
  /// A Suspect that doesn't object for this long is marked Gone.
  std::chrono::milliseconds ObjectionTime{6000};
  /// An instance that has objected isn't marked again for this long.
  std::chrono::milliseconds ObjectionHolds{10000};
  /// A Joining instance that isn't alive for this long is marked Gone.
  std::chrono::milliseconds JoiningGoneAfter{10000};
  /// Registrations that are Leaving or Gone are removed after this time.
  std::chrono::milliseconds KeepAfterEnd{30000};
  /// Interval between looks for registrations to mark.
  std::chrono::milliseconds MarkPeriod{250};
  std::chrono::milliseconds RetryPause{500};
};

/// A conditional write or removal of a registration.
struct registration_write {
  std::string Name;
  /// Empty to remove the object.
  std::optional<registration_state> State;
  /// The version to replace; 0 creates the object.
  std::uint64_t IfVersion = 0;
};

class instance_roster {
public:
  using live_predicate = std::function<bool(const std::string &Name)>;

  instance_roster(roster_settings Settings, steady_time Now);

  /// Applies a list of all registrations that was requested at \p AsOf. Ignored
  /// if it is older than the known one.
  void applyList(const std::vector<registration> &All, boot_time AsOf,
                 store_era Era, std::uint64_t Revision, steady_time Now);
  /// Applies the changes since revision() in the order of the platform's
  /// answer; requested at \p AsOf.
  void applyChanges(const std::vector<registration> &Changed,
                    const std::vector<std::string> &Removed, boot_time AsOf,
                    std::uint64_t Revision, steady_time Now);
  /// The platform doesn't know the changes since revision().
  void forgetRevision() { Revision = 0; }
  void readFailed(steady_time Now);

  /// A peer of the region has the roster \p Peer. True if its rows must be
  /// fetched.
  bool hearPeer(const roster_stamp &Peer);
  /// Applies the rows that a peer had at \p AsOf or later.
  void applyRows(const std::vector<roster_row> &Rows, std::size_t Fleet,
                 boot_time AsOf, store_era Era, steady_time Now);

  /// The platform lost a part of its history; \p Era is the new one. Registers
  /// again after \p Wait.
  void historyLost(store_era Era, std::chrono::milliseconds Wait,
                   steady_time Now);

  /// This instance stops: registers as Leaving.
  void leave(steady_time Now);

  /// True if the registrations should be read now: a list while revision() is
  /// 0, else the changes since then. The caller reports the answer or
  /// readFailed().
  bool takeRead(bool IsReader, steady_time Now, boot_time Boot);
  /// The live instances have changed: the region's reader reads soon.
  void readSoon() { ReadWanted = true; }

  /// The write of the own registration that is due. The caller reports
  /// ownWritten() or ownWriteFailed().
  std::optional<registration_write> takeOwnWrite(steady_time Now);
  void ownWritten(std::uint64_t Version, registration_state State,
                  steady_time Now, boot_time Boot);
  /// Failed, or with an unknown outcome.
  void ownWriteFailed(steady_time Now);

  /// The write of another's registration that the region's reader makes. The
  /// caller reports markEnded().
  std::optional<registration_write> takeMark(steady_time Now,
                                             const live_predicate &IsLive);
  void markEnded() { Marking = false; }

  const std::string &instance() const { return Settings.Instance; }
  std::uint64_t revision() const { return Revision; }
  store_era era() const { return Era; }
  roster_stamp stamp() const { return {Hash, AsOf, Era}; }
  /// The own region's rows in order of their names.
  const std::vector<roster_row> &rows() const { return Rows; }
  /// Registered instances of all regions that aren't Leaving or Gone.
  std::size_t fleetSize() const { return Fleet; }
  bool known() const { return AsOf != boot_time(); }
  /// This instance is registered as Live and may mint.
  bool minting() const { return Minting; }
  boot_time leaseEnd() const { return AsOf + Settings.Lease; }
  std::chrono::milliseconds handoverTime() const {
    return Settings.Lease + Settings.LeaseMargin;
  }

private:
  /// State of the own registration.
  enum class phase : std::uint8_t {
    /// The platform's object of this name must be read.
    Unknown,
    /// Wanted is to be written over OwnVersion.
    Unwritten,
    Joining,
    Live,
    Left
  };

  /// What the reader knows of another's registration.
  struct absence {
    std::uint64_t Version = 0;
    registration_state State = registration_state::Live;
    /// Last time at which it was alive or its registration changed.
    steady_time Since;
    steady_time NotBefore;
    bool SeenAlive = false;
  };

  void setRows(std::vector<roster_row> NewRows, std::size_t NewFleet);
  void updateRows();
  void checkOwn(steady_time Now);
  void checkOwnRow(steady_time Now);
  void chooseOwnWrite(const registration *Own, steady_time Now);
  bool isAlone() const;
  std::optional<registration_state> nextMark(const registration &Row,
                                             absence &Known, bool Alive,
                                             steady_time Now) const;
  bool endedLongAgo(const registration &Row, const absence &Known,
                    steady_time Now) const;

  roster_settings Settings;
  steady_time StartedAt;
  /// By name, of all regions; empty if the rows came from a peer.
  std::map<std::string, registration> Objects;
  std::vector<roster_row> Rows;
  std::size_t Fleet = 0;
  std::uint64_t Hash = 0;
  boot_time AsOf;
  store_era Era = 0;
  std::uint64_t Revision = 0;
  phase Phase = phase::Unknown;
  registration_state Wanted = registration_state::Joining;
  std::uint64_t OwnVersion = 0;
  /// Reads that began after this time show the own registration.
  boot_time OwnWrittenAt;
  /// When a Joining registration may become Live.
  steady_time LiveFrom;
  bool Minting = false;
  bool Stopping = false;
  /// Minted when the platform lost its history, and goes on.
  bool Continues = false;
  bool Reading = false;
  bool ReadWanted = false;
  /// The own registration was written since the last read.
  bool ReadOwn = false;
  bool Writing = false;
  /// The write in progress began before the platform lost its history.
  bool OutdatedWrite = false;
  bool Marking = false;
  steady_time NextRead;
  steady_time LastRead;
  steady_time LastList;
  steady_time NextWrite;
  steady_time NextMark;
  std::map<std::string, absence> Absent;
  /// Registrations that were marked since the last read.
  std::set<std::string> Marked;
};

} // namespace magnoliaspread

#endif
