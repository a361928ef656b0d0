/// Property: despite crashes, restarts, expired tickets and reordered messages,
/// a request runs at most once, and is never refused as not run after it ran.
#include <magnoliaspread/dedup.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>
#include <xxhash.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

std::string testMac(std::string_view Text) {
  return std::to_string(XXH64(Text.data(), Text.size(), 77));
}

dedup_settings smallSettings() {
  dedup_settings Settings;
  Settings.MaxEntries = 6;
  return Settings;
}

/// How an instance handles requests that must not run twice.
class dedup_policy {
public:
  dedup_policy() = default;
  dedup_policy(const dedup_policy &) = delete;
  dedup_policy &operator=(const dedup_policy &) = delete;
  virtual ~dedup_policy() = default;
  virtual dedup_decision admit(const dedup_request &Request,
                               steady_time Now) = 0;
  virtual void sent(dedup_id Id) = 0;
  virtual void finish(dedup_id Id, bool Known, steady_time Now) = 0;
  virtual void finishNotRun(dedup_id Id) = 0;
};

class ticket_policy final : public dedup_policy {
public:
  ticket_policy(const std::string &Name, std::uint64_t Incarnation,
                const fake_clock &Clock)
      : Registry(Name, Incarnation, smallSettings(), testMac, Clock.now(),
                 Clock.wall()) {}
  dedup_decision admit(const dedup_request &Request, steady_time Now) override {
    return Registry.admit(Request, Now);
  }
  void sent(dedup_id Id) override { Registry.sent(Id); }
  void finish(dedup_id Id, bool Known, steady_time Now) override {
    if (Known)
      Registry.finish(Id, {200, "text/plain", "done", true}, Now);
    else
      Registry.finishUnknown(Id, Now);
  }
  void finishNotRun(dedup_id Id) override { Registry.finishNotRun(Id); }

private:
  dedup_registry Registry;
};

/// Naive version: each instance caches the keys that it ran, and evicts the
/// oldest when full.
class key_cache_policy final : public dedup_policy {
public:
  dedup_decision admit(const dedup_request &Request, steady_time) override {
    dedup_decision Decision;
    const std::string Key(Request.IdempotencyKey);
    if (std::find(Keys.begin(), Keys.end(), Key) != Keys.end()) {
      Decision.Verdict = dedup_verdict::Answered;
      return Decision;
    }
    Keys.push_back(Key);
    if (Keys.size() > smallSettings().MaxEntries)
      Keys.pop_front();
    Decision.Verdict = dedup_verdict::Run;
    return Decision;
  }
  void sent(dedup_id) override {}
  void finish(dedup_id, bool, steady_time) override {}
  void finishNotRun(dedup_id) override {}

private:
  std::deque<std::string> Keys;
};

constexpr std::size_t Instances = 3;

struct simulated_request {
  std::string Key;
  std::string Ticket;
  int Runs = 0;
};

struct attempt {
  std::size_t Request = 0;
  std::string Ticket;
};

struct running {
  std::size_t Instance = 0;
  std::size_t Request = 0;
  dedup_id Id = 0;
  bool Sent = false;
};

/// Callers, a network that duplicates and reorders, and instances that crash.
class simulation {
public:
  simulation(std::uint64_t Seed, bool UseTickets)
      : Random(Seed), UseTickets(UseTickets) {
    for (std::size_t I = 0; I < Instances; ++I)
      Policies.push_back(makePolicy(I));
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step)
      step();
  }

  int RanTwice = 0;
  int WronglyNotRun = 0;
  int Ran = 0;
  int RepeatsAnswered = 0;
  int WrongInstance = 0;

private:
  std::size_t below(std::size_t Limit) { return Random() % Limit; }

  std::unique_ptr<dedup_policy> makePolicy(std::size_t I) {
    if (!UseTickets)
      return std::make_unique<key_cache_policy>();
    return std::make_unique<ticket_policy>("i" + std::to_string(I),
                                           ++LastIncarnation, Clock);
  }

  void step() {
    const std::size_t Choice = below(100);
    if (Choice < 25)
      send();
    else if (Choice < 55)
      deliver();
    else if (Choice < 90)
      progress();
    else if (Choice < 97)
      Clock.advance(std::chrono::milliseconds(below(20000)));
    else
      crash(below(Instances));
  }

  /// A new request, or a repeat with the same key and ticket.
  void send() {
    if (Requests.empty() || below(3) == 0) {
      Requests.push_back({"k" + std::to_string(Requests.size()), {}, 0});
      Attempts.push_back({Requests.size() - 1, {}});
      return;
    }
    const std::size_t Recent = std::min<std::size_t>(Requests.size(), 8);
    const std::size_t Request = Requests.size() - 1 - below(Recent);
    Attempts.push_back({Request, Requests[Request].Ticket});
  }

  /// Usually the instance that the ticket names.
  std::size_t instanceFor(const attempt &Attempt) {
    const result<dedup_ticket> Ticket = decodeTicket(Attempt.Ticket, testMac);
    if (failed(Ticket) || below(3) == 0)
      return below(Instances);
    return static_cast<std::size_t>(valueOf(Ticket).Instance.back() - '0');
  }

  void deliver() {
    if (Attempts.empty())
      return;
    std::swap(Attempts[below(Attempts.size())], Attempts.back());
    const attempt Attempt = Attempts.back();
    if (below(10) != 0)
      Attempts.pop_back();
    const std::size_t Instance = instanceFor(Attempt);
    const dedup_request Request{"w", Requests[Attempt.Request].Key,
                                Attempt.Ticket, 1};
    handle(Attempt, Instance, Policies[Instance]->admit(Request, Clock.now()));
  }

  void handle(const attempt &Attempt, std::size_t Instance,
              const dedup_decision &Decision) {
    simulated_request &Request = Requests[Attempt.Request];
    switch (Decision.Verdict) {
    case dedup_verdict::Run:
      Running.push_back({Instance, Attempt.Request, Decision.Id, false});
      return;
    case dedup_verdict::TicketNeeded:
      if (Request.Ticket.empty())
        Request.Ticket = Decision.NewTicket;
      return;
    case dedup_verdict::Refused:
      if (answerOf(Decision.Error->Kind).Run == run_state::NotRun)
        WronglyNotRun += Request.Runs;
      return;
    case dedup_verdict::Answered:
      ++RepeatsAnswered;
      return;
    case dedup_verdict::OtherInstance:
      ++WrongInstance;
      return;
    }
  }

  /// Sends the first byte of a run, or ends it as not run, answered or unknown.
  void progress() {
    if (Running.empty())
      return;
    std::swap(Running[below(Running.size())], Running.back());
    running &Run = Running.back();
    dedup_policy &Policy = *Policies[Run.Instance];
    if (!Run.Sent && below(4) != 0) {
      Policy.sent(Run.Id);
      Run.Sent = true;
      Ran += 1;
      RanTwice += ++Requests[Run.Request].Runs > 1 ? 1 : 0;
      return;
    }
    if (!Run.Sent) {
      WronglyNotRun += Requests[Run.Request].Runs;
      Policy.finishNotRun(Run.Id);
    } else {
      Policy.finish(Run.Id, below(3) != 0, Clock.now());
    }
    Running.pop_back();
  }

  void crash(std::size_t Instance) {
    Policies[Instance] = makePolicy(Instance);
    std::erase_if(Running, [Instance](const running &Run) {
      return Run.Instance == Instance;
    });
  }

  std::mt19937_64 Random;
  bool UseTickets;
  fake_clock Clock;
  std::uint64_t LastIncarnation = 0;
  std::vector<std::unique_ptr<dedup_policy>> Policies;
  std::vector<simulated_request> Requests;
  std::vector<attempt> Attempts;
  std::vector<running> Running;
};

struct registry_fixture {
  dedup_decision admit(std::string_view Key, const std::string &Ticket,
                       std::uint64_t Content = 1) {
    return Registry.admit({"w", Key, Ticket, Content}, Clock.now());
  }

  bool refuses(std::string_view Key, const std::string &Ticket, error_kind Kind,
               std::uint64_t Content = 1) {
    const dedup_decision Decision = admit(Key, Ticket, Content);
    return Decision.Verdict == dedup_verdict::Refused &&
           Decision.Error->Kind == Kind;
  }

  fake_clock Clock;
  dedup_registry Registry{"a",     7,           smallSettings(),
                          testMac, Clock.now(), Clock.wall()};
};

} // namespace

STORY(at_most_once_despite_crashes_and_repeats) {
  section("a key cache per instance runs requests twice", [&] {
    simulation Simulation(1, false);
    Simulation.run(2000);
    CPPUNIT_ASSERT(Simulation.RanTwice > 0);
  });
  section("tickets never do, and refusals are correct", [&] {
    int Ran = 0;
    int RepeatsAnswered = 0;
    int WrongInstance = 0;
    for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
      simulation Simulation(Seed, true);
      Simulation.run(2000);
      const std::string Message = "seed " + std::to_string(Seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Simulation.RanTwice);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Simulation.WronglyNotRun);
      Ran += Simulation.Ran;
      RepeatsAnswered += Simulation.RepeatsAnswered;
      WrongInstance += Simulation.WrongInstance;
    }
    CPPUNIT_ASSERT(Ran > 1000 && RepeatsAnswered > 1000 &&
                   WrongInstance > 1000);
  });
}

STORY(tickets) {
  const dedup_ticket Ticket{"a", 7, wall_time(1234567ms)};
  const std::string Text = encodeTicket(Ticket, testMac);

  section("a ticket decodes to what was encoded", [&] {
    CPPUNIT_ASSERT(valueOf(decodeTicket(Text, testMac)) == Ticket);
  });
  section("a modified or truncated ticket is refused", [&] {
    for (std::size_t I = 0; I < Text.size(); ++I) {
      std::string Changed = Text;
      Changed[I] = Changed[I] == '1' ? '2' : '1';
      CPPUNIT_ASSERT(failed(decodeTicket(Changed, testMac)));
      CPPUNIT_ASSERT(failed(decodeTicket(Text.substr(0, I), testMac)));
    }
  });
}

STORY(repeats_on_the_same_instance) {
  registry_fixture Fixture;
  dedup_registry &Registry = Fixture.Registry;
  const std::string Ticket = Registry.issueTicket(Fixture.Clock.now());
  const dedup_id Id = Fixture.admit("k", Ticket).Id;

  section("a repeat during the run has an unknown outcome", [&] {
    CPPUNIT_ASSERT(Fixture.refuses("k", Ticket, error_kind::OutcomeUnknown));
    CPPUNIT_ASSERT(Fixture.refuses("k", "", error_kind::OutcomeUnknown));
  });
  section("a repeat after the run gets the stored answer", [&] {
    Registry.sent(Id);
    CPPUNIT_ASSERT(Fixture.refuses("k", Ticket, error_kind::OutcomeUnknown));
    Registry.finish(Id, {201, "text/plain", "booked", true},
                    Fixture.Clock.now());
    const dedup_decision Repeat = Fixture.admit("k", Ticket);
    CPPUNIT_ASSERT(Repeat.Verdict == dedup_verdict::Answered);
    CPPUNIT_ASSERT_EQUAL(std::string("booked"), Repeat.Answer->Body);
  });
  section("another request with the same key is refused", [&] {
    CPPUNIT_ASSERT(Fixture.refuses("k", Ticket, error_kind::BadRequest, 2));
  });
  section("the same key in another workspace is another request", [&] {
    CPPUNIT_ASSERT(
        Registry.admit({"v", "k", Ticket, 1}, Fixture.Clock.now()).Verdict ==
        dedup_verdict::Run);
  });
  section("of a large answer only the status is stored", [&] {
    const dedup_id Large = Fixture.admit("l", Ticket).Id;
    Registry.finish(Large, {200, "", std::string(5000, 'x'), true},
                    Fixture.Clock.now());
    const dedup_decision Repeat = Fixture.admit("l", Ticket);
    CPPUNIT_ASSERT(!Repeat.Answer->HasBody);
    CPPUNIT_ASSERT_EQUAL(200u, Repeat.Answer->Status);
  });
  section("a request that certainly didn't run may run", [&] {
    Registry.finishNotRun(Fixture.admit("m", Ticket).Id);
    CPPUNIT_ASSERT(Fixture.admit("m", Ticket).Verdict == dedup_verdict::Run);
  });
}

STORY(limits_of_the_registry) {
  registry_fixture Fixture;
  dedup_registry &Registry = Fixture.Registry;
  const std::string Ticket = Registry.issueTicket(Fixture.Clock.now());

  section("a full registry refuses new requests and keeps old ones", [&] {
    for (int I = 0; I < 6; ++I)
      Registry.finish(Fixture.admit(std::to_string(I), Ticket).Id, {},
                      Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.refuses("new", Ticket, error_kind::QueueFull));
    CPPUNIT_ASSERT(Fixture.admit("0", Ticket).Verdict ==
                   dedup_verdict::Answered);
  });
  section("a key is forgotten only after its ticket has expired", [&] {
    Fixture.Clock.advance(60s);
    CPPUNIT_ASSERT(Fixture.refuses("0", Ticket, error_kind::OutcomeUnknown));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Registry.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Registry.answerBytes());
  });
  section("also when a caller passes an older clock reading", [&] {
    const steady_time Earlier = Fixture.Clock.now() - 30s;
    const dedup_decision Late = Registry.admit({"w", "0", Ticket, 1}, Earlier);
    CPPUNIT_ASSERT(Late.Verdict == dedup_verdict::Refused);
  });
  section("a run longer than its ticket is remembered until it ends", [&] {
    const std::string Fresh = Registry.issueTicket(Fixture.Clock.now());
    const dedup_id Long = Fixture.admit("long", Fresh).Id;
    Fixture.Clock.advance(600s);
    CPPUNIT_ASSERT(Fixture.refuses("long", Fresh, error_kind::OutcomeUnknown));
    Registry.finish(Long, {200, "", "late", true}, Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.admit("long", Fresh).Verdict ==
                   dedup_verdict::Answered);
  });
  section("a ticket that expires too late is refused", [&] {
    const std::string Far = encodeTicket(
        {"a", 7, Fixture.Clock.wall() + std::chrono::hours(24)}, testMac);
    CPPUNIT_ASSERT(Fixture.refuses("far", Far, error_kind::BadRequest));
  });
}
