#include <magnoliaspread/confsync.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

constexpr std::size_t MaxRejectedStamps = 16;

} // namespace

config_sync::config_sync(std::uint64_t Seed, steady_time Now)
    : Random(Seed), NextPoll(Now), LastConfirmed(Now) {}

void config_sync::setHolders(std::vector<config_holder> NewHolders) {
  Holders = std::move(NewHolders);
}

bool config_sync::wasRejected(const config_stamp &Config) const {
  return std::find(RejectedStamps.begin(), RejectedStamps.end(), Config) !=
         RejectedStamps.end();
}

bool config_sync::isCandidate(const config_stamp &Config) const {
  return Config.Version > InForce.Version && !wasRejected(Config);
}

bool config_sync::backedOff(steady_time Now, const std::string &Peer) const {
  for (const fetch_failure &Failure : Failures)
    if (Failure.Peer == Peer)
      return Now < Failure.RetryAt;
  return false;
}

const config_holder *config_sync::pickHolder(steady_time Now, bool RemoteToo) {
  const config_holder *Best = nullptr;
  std::size_t Ties = 0;
  for (const config_holder &Holder : Holders) {
    if (!isCandidate(Holder.Config) || backedOff(Now, Holder.Name) ||
        (!Holder.SameDataCentre && !RemoteToo))
      continue;
    const bool Better = Best == nullptr ||
                        Holder.SameDataCentre > Best->SameDataCentre ||
                        (Holder.SameDataCentre == Best->SameDataCentre &&
                         Holder.Config.Version > Best->Config.Version);
    const bool Tied = Best != nullptr &&
                      Holder.SameDataCentre == Best->SameDataCentre &&
                      Holder.Config.Version == Best->Config.Version;
    Ties = Better ? 1 : Ties + (Tied ? 1 : 0);
    if (Better || (Tied && Random() % Ties == 0))
      Best = &Holder;
  }
  return Best;
}

void config_sync::expireFetch(steady_time Now) {
  if (RunningFetch && Now - FetchStart >= FetchTimeout)
    fetchFailed(Now, std::string(RunningFetch->Peer));
}

std::optional<config_fetch> config_sync::nextFetch(steady_time Now,
                                                   bool Speaker) {
  expireFetch(Now);
  if (RunningFetch)
    return std::nullopt;
  const bool HasCandidate =
      std::any_of(Holders.begin(), Holders.end(), [&](const config_holder &H) {
        return isCandidate(H.Config);
      });
  if (!HasCandidate) {
    CandidateSince.reset();
    return std::nullopt;
  }
  if (!CandidateSince)
    CandidateSince = Now;
  const bool RemoteToo = Speaker || Now - *CandidateSince >= RemoteFetchDelay;
  const config_holder *Holder = pickHolder(Now, RemoteToo);
  if (Holder == nullptr)
    return std::nullopt;
  RunningFetch = config_fetch{Holder->Name, Holder->Internal, Holder->Config};
  FetchStart = Now;
  ++Counts.Fetches;
  return RunningFetch;
}

void config_sync::fetchFailed(steady_time Now, const std::string &Peer) {
  if (!RunningFetch || RunningFetch->Peer != Peer)
    return;
  ++Counts.FetchFailures;
  auto Failure =
      std::find_if(Failures.begin(), Failures.end(),
                   [&](const fetch_failure &F) { return F.Peer == Peer; });
  if (Failure == Failures.end())
    Failure = Failures.insert(Failures.end(), fetch_failure{Peer, Now});
  else
    Failure->Backoff = std::min(Failure->Backoff * 2, FetchBackoffMax);
  Failure->RetryAt = Now + Failure->Backoff;
  RunningFetch.reset();
}

void config_sync::endFetch() {
  if (!RunningFetch)
    return;
  std::erase_if(Failures, [&](const fetch_failure &Failure) {
    return Failure.Peer == RunningFetch->Peer;
  });
  RunningFetch.reset();
}

config_verdict config_sync::classify(steady_time Now, config_stamp Config,
                                     config_source Source) {
  if (Source == config_source::Peer && Config.Version <= InForce.Version &&
      RunningFetch && RunningFetch->Config.Version > InForce.Version)
    fetchFailed(Now, std::string(RunningFetch->Peer));
  if (wasRejected(Config))
    return config_verdict::Rejected;
  if (Config.Version > InForce.Version)
    return config_verdict::Accept;
  if (Config.Version < InForce.Version) {
    ++Counts.OlderIgnored;
    return config_verdict::Older;
  }
  if (Config.Hash != InForce.Hash) {
    ++Counts.Conflicts;
    return config_verdict::Conflict;
  }
  return config_verdict::Same;
}

bool config_sync::activate(steady_time Now, config_stamp Config) {
  if (Config.Version <= InForce.Version)
    return false;
  InForce = Config;
  ++Counts.Accepted;
  if (RunningFetch && RunningFetch->Config.Version <= Config.Version)
    endFetch();
  CandidateSince.reset();
  std::erase_if(RejectedStamps, [&](const config_stamp &Rejected) {
    return Rejected.Version <= Config.Version;
  });
  NextPoll = std::max(NextPoll, Now + PlatformFirstPollPeriod);
  return true;
}

void config_sync::reject(steady_time Now, config_stamp Config) {
  ++Counts.Rejected;
  if (RejectedStamps.size() >= MaxRejectedStamps)
    RejectedStamps.erase(RejectedStamps.begin());
  RejectedStamps.push_back(Config);
  if (RunningFetch)
    fetchFailed(Now, std::string(RunningFetch->Peer));
}

std::chrono::milliseconds config_sync::pollPeriod() const {
  if (InForce.Version == 0)
    return PlatformFirstPollPeriod;
  return SpeakersReachPlatform ? PlatformPollPeriod
                               : PlatformFallbackPollPeriod;
}

bool config_sync::platformPollDue(steady_time Now, bool Speaker) {
  if (Now < NextPoll)
    return false;
  const std::chrono::milliseconds Mean = pollPeriod();
  const auto Spread = static_cast<std::uint64_t>(Mean.count());
  NextPoll = Now + Mean / 2 + std::chrono::milliseconds(Random() % Spread);
  return !Speaker || InForce.Version == 0;
}

void config_sync::setSpeakersReach(steady_time Now, bool Reach) {
  if (SpeakersReachPlatform && !Reach) {
    const auto Spread =
        static_cast<std::uint64_t>(PlatformFallbackPollPeriod.count());
    NextPoll =
        std::min(NextPoll, Now + std::chrono::milliseconds(Random() % Spread));
  }
  SpeakersReachPlatform = Reach;
}

std::chrono::milliseconds config_sync::staleness(steady_time Now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                               LastConfirmed);
}

} // namespace magnoliaspread
