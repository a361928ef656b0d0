#include <magnoliaspread/crashevidence.h>

#include <algorithm>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Times that other instances tell are late by the message's way: a run counts
/// as later than a crash that another instance saw from this gap on.
constexpr milliseconds MessageDelay{100};
/// The same for a success against the crashes before it.
constexpr milliseconds SuccessMargin{1000};

bool isEarlier(const crash &One, const crash &Other) {
  return One.DiedAt != Other.DiedAt ? One.DiedAt < Other.DiedAt
                                    : One.Target < Other.Target;
}

} // namespace

target_start targetStart(std::string_view Name, std::int64_t StartedAtMs) {
  return XXH64(Name.data(), Name.size(),
               static_cast<XXH64_hash_t>(StartedAtMs));
}

target_start startAfter(target_start Died) {
  return XXH64(&Died, sizeof(Died), 0);
}

bool crash_evidence::add(const crash &Crash) {
  if (SucceededAt && Crash.DiedAt <= *SucceededAt + SuccessMargin)
    return false;
  const auto Known =
      std::find_if(Crashes.begin(), Crashes.end(), [&](const crash &Row) {
        return Row.Target == Crash.Target;
      });
  const bool IsNew = Known == Crashes.end();
  if (IsNew) {
    Crashes.push_back(Crash);
  } else {
    // A message's way only ever makes a time later.
    Known->DiedAt = std::min(Known->DiedAt, Crash.DiedAt);
    Known->SentAt = std::min(Known->SentAt, Crash.SentAt);
    Known->Alone = Known->Alone || Crash.Alone;
    Known->SeenHere = Known->SeenHere || Crash.SeenHere;
  }
  std::sort(Crashes.begin(), Crashes.end(), isEarlier);
  if (Crashes.size() > MaxCrashes)
    makeRoom();
  return IsNew;
}

/// Drops a crash that adds no round, or else the oldest one.
void crash_evidence::makeRoom() {
  const std::vector<std::size_t> Chain = chain();
  for (std::size_t I = Crashes.size(); I-- > 0;)
    if (std::find(Chain.begin(), Chain.end(), I) == Chain.end()) {
      Crashes.erase(Crashes.begin() + static_cast<std::ptrdiff_t>(I));
      return;
    }
  Crashes.erase(Crashes.begin());
}

bool crash_evidence::succeeded(steady_time At) {
  if (SucceededAt && *SucceededAt >= At)
    return false;
  SucceededAt = At;
  const bool Clears = std::erase_if(Crashes, [&](const crash &Row) {
                        return Row.DiedAt <= At + SuccessMargin;
                      }) > 0;
  if (Clears)
    Claimed = 0;
  return Clears;
}

void crash_evidence::claim(std::size_t Rounds) {
  Claimed = std::max(Claimed, Rounds);
}

/// The longest series of crashes in which each run was sent after the death
/// before it.
std::vector<std::size_t> crash_evidence::chain() const {
  std::vector<std::size_t> Chain;
  for (std::size_t I = 0; I < Crashes.size(); ++I) {
    if (Chain.empty()) {
      Chain.push_back(I);
      continue;
    }
    const crash &Last = Crashes[Chain.back()];
    const bool Exact = Last.SeenHere && Crashes[I].SeenHere;
    if (Crashes[I].SentAt >=
        Last.DiedAt + (Exact ? milliseconds(0) : MessageDelay))
      Chain.push_back(I);
  }
  return Chain;
}

std::size_t crash_evidence::rounds() const {
  return std::max(chain().size(), std::min(Claimed, Crashes.size()));
}

bool crash_evidence::knows(target_start Target) const {
  return std::any_of(Crashes.begin(), Crashes.end(),
                     [&](const crash &Row) { return Row.Target == Target; });
}

bool crash_evidence::isExplainedBy(const crash_evidence &Other) const {
  return Other.Crashes.size() >= Crashes.size() &&
         std::all_of(Crashes.begin(), Crashes.end(),
                     [&](const crash &Row) { return Other.knows(Row.Target); });
}

bool crash_evidence::diedAlone() const {
  return std::any_of(Crashes.begin(), Crashes.end(),
                     [](const crash &Row) { return Row.Alone; });
}

steady_time crash_evidence::lastChange() const {
  steady_time Last = SucceededAt.value_or(steady_time());
  for (const crash &Row : Crashes)
    Last = std::max(Last, Row.DiedAt);
  return Last;
}

} // namespace magnoliaspread
