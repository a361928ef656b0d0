#include <magnoliaspread/placement_policy.h>

#include <magnoliaspread/hash.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <string>
#include <type_traits>
#include <utility>

namespace magnoliaspread {
namespace {

class holders_policy final : public placement_policy {
public:
  explicit holders_policy(const placer_policy &Policy) : Placer(Policy) {}

  void setTargets(const std::vector<placer_target> &Targets,
                  steady_time Now) override {
    Placer.setTargets(Targets, Now);
  }
  placement_verdict place(const place_request &Request,
                          steady_time Now) override {
    return Placer.place(Request, Now);
  }
  std::vector<place_grant> poll(steady_time Now) override {
    return Placer.poll(Now);
  }
  void finished(const target_outcome &End, steady_time Now) override {
    Placer.finished(End, Now);
  }
  object_update takeUpdates() override {
    return {Placer.takeUpdates(), Placer.takeLoadReports()};
  }
  void receive(const object_update &Update, steady_time Now) override {
    Placer.receive(Update, Now);
  }

private:
  placer Placer;
};

/// Sees only its own requests in flight and each target's latest load report.
class plain_policy : public placement_policy {
public:
  void setTargets(const std::vector<placer_target> &NewTargets,
                  steady_time) override {
    std::size_t Rows = 0;
    for (const placer_target &Row : NewTargets)
      Rows = std::max<std::size_t>(Rows, Row.Handle.Index + 1U);
    Targets.resize(Rows);
    for (target_state &Row : Targets)
      Row.Present = false;
    for (const placer_target &Row : NewTargets) {
      Targets[Row.Handle.Index].Info = Row;
      Targets[Row.Handle.Index].Present = true;
    }
  }

  placement_verdict place(const place_request &Request, steady_time) override {
    const std::optional<target_handle> Target = chooseTarget(Request);
    if (!Target)
      return error{error_kind::NoCapacity, "no target has a free slot", {}};
    ++Targets[Target->Index].InFlight;
    return place_send{*Target};
  }

  std::vector<place_grant> poll(steady_time) override { return {}; }

  void finished(const target_outcome &End, steady_time) override {
    target_state &Row = Targets[End.Target.Index];
    Row.InFlight -= std::min(Row.InFlight, 1U);
    if (End.Report)
      Row.Reported = End.Report->Running + End.Report->Waiting;
  }

  object_update takeUpdates() override { return {}; }
  void receive(const object_update &, steady_time) override {}

protected:
  struct target_state {
    placer_target Info;
    bool Present = false;
    std::uint32_t InFlight = 0;
    std::uint32_t Reported = 0;

    std::uint32_t load() const { return std::max(InFlight, Reported); }
  };

  virtual std::optional<target_handle>
  chooseTarget(const place_request &Request) = 0;

  /// Targets that the request may be sent to, of the own region or of all
  /// others.
  std::vector<target_handle> openTargets(const place_request &Request,
                                         bool Remote) const {
    std::vector<target_handle> Found;
    for (const target_state &Row : Targets) {
      const bool Tried = std::find(Request.Tried.begin(), Request.Tried.end(),
                                   Row.Info.Handle) != Request.Tried.end();
      if (Row.Present && Row.Info.Open && !Tried &&
          Row.Info.Service == Request.Service &&
          (Row.Info.Distance == target_distance::Remote) == Remote)
        Found.push_back(Row.Info.Handle);
    }
    return Found;
  }

  const target_state &at(target_handle Target) const {
    return Targets[Target.Index];
  }

private:
  std::vector<target_state> Targets;
};

class least_loaded_policy final : public plain_policy {
public:
  explicit least_loaded_policy(std::uint64_t Seed) : Random(Seed) {}

private:
  std::optional<target_handle>
  chooseTarget(const place_request &Request) override {
    std::vector<target_handle> Candidates = openTargets(Request, false);
    if (Candidates.empty())
      Candidates = openTargets(Request, true);
    if (Candidates.empty())
      return std::nullopt;
    const target_handle A = Candidates[Random() % Candidates.size()];
    const target_handle B = Candidates[Random() % Candidates.size()];
    return at(A).load() <= at(B).load() ? A : B;
  }

  std::mt19937_64 Random;
};

class spilling_policy final : public plain_policy {
private:
  std::optional<target_handle>
  chooseTarget(const place_request &Request) override {
    const std::uint64_t Key = Request.Object != 0 ? Request.Object : Request.Id;
    for (const bool Remote : {false, true}) {
      std::vector<target_handle> Candidates = openTargets(Request, Remote);
      std::sort(Candidates.begin(), Candidates.end(),
                [&](target_handle A, target_handle B) {
                  return rendezvousScore(Key, at(A).Info.Id) >
                         rendezvousScore(Key, at(B).Info.Id);
                });
      for (const target_handle Target : Candidates)
        if (at(Target).load() < at(Target).Info.Slots)
          return Target;
    }
    return std::nullopt;
  }
};

using policy_field = std::variant<double placer_policy::*,
                                  std::chrono::milliseconds placer_policy::*,
                                  std::uint32_t placer_policy::*>;

const std::map<std::string_view, policy_field> PlacerFields{
    {"ahead", &placer_policy::Ahead},
    {"busy_part", &placer_policy::BusyPart},
    {"cold_guess", &placer_policy::ColdGuess},
    {"late_part", &placer_policy::LatePart},
    {"leave_margin_ms", &placer_policy::LeaveMargin},
    {"least_local", &placer_policy::LeastLocal},
    {"most_local", &placer_policy::MostLocal},
    {"near_factor", &placer_policy::NearFactor},
    {"region_fill", &placer_policy::RegionFill},
    {"report_half_life_ms", &placer_policy::ReportHalfLife},
    {"spare_part", &placer_policy::SparePart},
    {"wait_part", &placer_policy::WaitPart},
    {"warm_guess", &placer_policy::WarmGuess},
    {"warming_patience", &placer_policy::WarmingPatience}};

std::string fieldNames() {
  std::string Names;
  for (const auto &[Name, Field] : PlacerFields)
    Names.append(Names.empty() ? "" : ", ").append(Name);
  return Names;
}

} // namespace

status setPlacerField(placer_policy &Policy, std::string_view Setting) {
  const std::size_t Equals = Setting.find('=');
  const std::string_view Text =
      Setting.substr(Equals == Setting.npos ? Setting.size() : Equals + 1);
  double Value = 0;
  const auto [Stop, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const auto Found = PlacerFields.find(Setting.substr(0, Equals));
  if (Found == PlacerFields.end() || Fault != std::errc() ||
      Stop != Text.data() + Text.size() || !(Value >= 0 && Value <= 1e6))
    return error{error_kind::BadRequest,
                 "\"" + std::string(Setting) +
                     "\" is no field=value, allowed: a number from 0 to "
                     "1000000 for one of " +
                     fieldNames(),
                 {}};
  std::visit(
      [&](auto Field) {
        using field = std::remove_reference_t<decltype(Policy.*Field)>;
        if constexpr (std::is_same_v<field, std::chrono::milliseconds>)
          Policy.*Field =
              std::chrono::milliseconds(static_cast<std::int64_t>(Value));
        else
          Policy.*Field = static_cast<field>(Value);
      },
      Found->second);
  return std::monostate();
}

std::optional<policy_kind> policyKindOf(std::string_view Name) {
  const auto *Found = std::find(PolicyNames.begin(), PolicyNames.end(), Name);
  if (Found == PolicyNames.end())
    return std::nullopt;
  return static_cast<policy_kind>(Found - PolicyNames.begin());
}

std::unique_ptr<placement_policy>
makePolicy(policy_kind Kind, const placer_policy &Placer, std::uint64_t Seed) {
  switch (Kind) {
  case policy_kind::LeastLoaded:
    return std::make_unique<least_loaded_policy>(Seed);
  case policy_kind::Spilling:
    return std::make_unique<spilling_policy>();
  default:
    return std::make_unique<holders_policy>(Placer);
  }
}

} // namespace magnoliaspread
