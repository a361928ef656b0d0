#include <magnoliaspread/member.h>

#include <algorithm>
#include <limits>

namespace magnoliaspread {

namespace {

/// A speaker's report on other data centres expires after several lost
/// heartbeats.
constexpr std::chrono::milliseconds SpeakerReportLifetime{5300};
/// Summary rounds without one from a data centre after which it is silent.
constexpr int SilentRounds = 2;
/// Instances that aren't speakers receive summaries less often, mostly relayed.
constexpr std::chrono::milliseconds RelayedSilentAfter{120000};

} // namespace

std::vector<member_row> membership::liveLocalPeers() const {
  std::vector<member_row> Peers;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre))
    if (Table.at(Handle).live())
      Peers.push_back(Table.at(Handle).Row);
  return Peers;
}

std::vector<member_row>
membership::lookupInstances(steady_time Now,
                            std::string_view DataCentre) const {
  std::vector<member_row> Eligible;
  const remote_centre *Centre = findCentre(DataCentre);
  if (Centre != nullptr && isSilent(Now, *Centre))
    return Eligible;
  if (DataCentre == Self.DataCentre && Own.State == member_state::Alive)
    Eligible.push_back(self());
  for (const instance_handle Handle : Table.ofDataCentre(DataCentre))
    if (Table.at(Handle).eligible())
      Eligible.push_back(Table.at(Handle).Row);
  return Eligible;
}

bool membership::isLive(steady_time Now, std::string_view Name) const {
  const instance_handle Handle = Table.byName(Name);
  if (!Handle.valid() || !Table.at(Handle).live())
    return false;
  const remote_centre *Centre =
      findCentre(Table.at(Handle).Row.Identity.DataCentre);
  return Centre == nullptr || !isSilent(Now, *Centre);
}

std::optional<member_row> membership::find(std::string_view Name) const {
  if (Name == Self.Name)
    return self();
  const instance_handle Handle = Table.byName(Name);
  if (!Handle.valid())
    return std::nullopt;
  return Table.at(Handle).Row;
}

std::optional<member_row>
membership::findIncarnation(std::uint64_t Incarnation) const {
  if (Incarnation == Self.Incarnation)
    return self();
  const instance_handle Handle = Table.byIncarnation(Incarnation);
  if (!Handle.valid())
    return std::nullopt;
  return Table.at(Handle).Row;
}

std::vector<data_centre_view> membership::dataCentres(steady_time Now) const {
  std::vector<data_centre_view> Views;
  for (const remote_centre &Centre : Centres) {
    Views.push_back({Centre.Summary, isSilent(Now, Centre)});
    Views.back().Summary.DataCentre = Centre.Name;
  }
  return Views;
}

/// Summaries of another data centre go to any one of the speakers here, so a
/// new speaker waits for the full limit.
bool membership::isOverdue(steady_time Now, const remote_centre &Centre) const {
  const std::chrono::milliseconds Limit =
      std::max(SilentAfter, SilentRounds * summaryPeriod());
  const steady_time Since =
      std::max(Centre.LastReceived, SpeakerSince.value_or(Now));
  return Now - Since >= Limit;
}

bool membership::isSilent(steady_time Now, const remote_centre &Centre) const {
  const auto Recent = [&](const std::optional<steady_time> &At) {
    return At && Now - *At < SpeakerReportLifetime;
  };
  if (Recent(Centre.ReportedActiveAt))
    return false;
  if (isSpeaker())
    return isOverdue(Now, Centre);
  return Recent(Centre.ReportedSilentAt) ||
         Now - std::max(Centre.LastReceived, Centre.LastRelayed) >=
             RelayedSilentAfter;
}

std::vector<member_row>
membership::speakers(std::string_view DataCentre) const {
  std::vector<member_row> Rows;
  if (DataCentre == Self.DataCentre && Own.State == member_state::Alive)
    Rows.push_back(self());
  for (const instance_handle Handle : Table.ofDataCentre(DataCentre))
    if (Table.at(Handle).eligible())
      Rows.push_back(Table.at(Handle).Row);
  const auto Before = [](const member_row &A, const member_row &B) {
    return speakerScore(A.Identity) > speakerScore(B.Identity);
  };
  const std::size_t Count = std::min(SpeakersPerDataCentre, Rows.size());
  std::partial_sort(Rows.begin(),
                    Rows.begin() + static_cast<std::ptrdiff_t>(Count),
                    Rows.end(), Before);
  Rows.resize(Count);
  return Rows;
}

bool membership::isSpeaker() const {
  if (Own.State != member_state::Alive)
    return false;
  const std::uint64_t OwnScore = speakerScore(Self);
  std::size_t Above = 0;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    if (Entry.eligible() && speakerScore(Entry.Row.Identity) > OwnScore)
      ++Above;
  }
  return Above < SpeakersPerDataCentre;
}

std::uint64_t membership::lowestVersion() const {
  std::uint64_t Lowest = Own.Config.Version;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    const std::uint64_t Version = Entry.Row.Report.Config.Version;
    if (Entry.live() && Version != 0)
      Lowest = std::min(Lowest, Version);
  }
  for (const remote_centre &Centre : Centres) {
    const std::vector<instance_handle> &Rows = Table.ofDataCentre(Centre.Name);
    const bool AnyLive =
        std::any_of(Rows.begin(), Rows.end(), [&](instance_handle Handle) {
          return Table.at(Handle).live();
        });
    if (AnyLive)
      Lowest = std::min(Lowest, Centre.Summary.LowestVersion);
  }
  return Lowest;
}

std::optional<steady_time>
membership::everywhereSince(std::uint64_t Version) const {
  for (const version_mark &Mark : LowestMarks)
    if (Mark.Version >= Version)
      return Mark.At;
  return std::nullopt;
}

membership::remote_centre *membership::findCentre(std::string_view Name) {
  for (remote_centre &Centre : Centres)
    if (Centre.Name == Name)
      return &Centre;
  return nullptr;
}

const membership::remote_centre *
membership::findCentre(std::string_view Name) const {
  for (const remote_centre &Centre : Centres)
    if (Centre.Name == Name)
      return &Centre;
  return nullptr;
}

} // namespace magnoliaspread
