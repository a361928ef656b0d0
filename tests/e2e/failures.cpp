/// Property: the guarantees to callers hold while processes are killed, are
/// paused and lose the platform.
#include "fleet.h"

#include <magnoliaspread/story.h>

#include <atomic>
#include <csignal>
#include <map>
#include <thread>

using namespace magnoliaspread;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

http_call workCall(const std::string &Target) {
  http_call Call{.Target = Target};
  Call.Fields["X-Api-Key"] = fleet::keyOf("alpha");
  return Call;
}

std::string field(const http_answer &Answer, const char *Name) {
  const auto Found = Answer.Fields.find(Name);
  return Found == Answer.Fields.end() ? "" : Found->second;
}

/// Repeats the same call from several threads.
class background_load {
public:
  background_load(std::vector<std::uint16_t> Ports, http_call Call,
                  unsigned Threads)
      : Ports(std::move(Ports)), Call(std::move(Call)) {
    for (unsigned I = 0; I < Threads; ++I)
      Workers.emplace_back([this, I] { run(I); });
  }
  ~background_load() { stop(); }
  background_load(const background_load &) = delete;
  background_load &operator=(const background_load &) = delete;

  void stop() {
    Stopping = true;
    for (std::thread &Worker : Workers)
      if (Worker.joinable())
        Worker.join();
  }

  std::atomic<std::uint64_t> Answered{0};
  std::atomic<std::uint64_t> Refused{0};
  /// Calls without a complete answer.
  std::atomic<std::uint64_t> Incomplete{0};

private:
  void run(unsigned Worker) {
    for (std::size_t I = Worker; !Stopping; ++I) {
      const http_answer Answer = call(Ports[I % Ports.size()], Call);
      if (Answer.Status == 200)
        ++Answered;
      else if (Answer.Status == 0)
        ++Incomplete;
      else
        ++Refused;
    }
  }

  std::vector<std::uint16_t> Ports;
  http_call Call;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Workers;
};

std::vector<std::uint16_t> publicPorts(const fleet &Fleet) {
  std::vector<std::uint16_t> Ports;
  for (const fleet_instance &Instance : Fleet.Instances)
    Ports.push_back(Instance.Public);
  return Ports;
}

bool lookupNames(const fleet_instance &Asked, const fleet_instance &Wanted) {
  const http_answer Answer = call(Asked.Public, {.Target = "/v1/lookup"});
  return Answer.Body.find("\"" + Wanted.Name + "\"") != std::string::npos;
}

std::uint64_t statusNumber(const fleet_instance &Instance, const char *Name) {
  const auto Value = call(Instance.Admin, {.Target = "/status"}).json();
  return Value.is_object() ? Value.at(Name).to_number<std::uint64_t>() : 0;
}

void pauseFor(milliseconds Time) { std::this_thread::sleep_for(Time); }

} // namespace

STORY(withdrawn_keys_and_configuration) {
  fleet_plan Plan;
  Plan.Regions = {{"north", 1}, {"south", 1}};
  fleet Fleet(Plan);
  open_connection Open(Fleet.Instances[0].Public);
  CPPUNIT_ASSERT_EQUAL(200U, Open.call(workCall("/jobs/a")).Status);

  section("a withdrawn key stops on an open connection within seconds", [&] {
    Fleet.Table.Keys[0].State = key_state::Withdrawn;
    Fleet.putTable();
    CPPUNIT_ASSERT(eventually(seconds(7), [&] {
      return field(Open.call(workCall("/jobs/a")), "X-Error") ==
             "key_withdrawn";
    }));
    const std::uint64_t Runs = Fleet.runsOf("alpha");
    for (const fleet_instance &Instance : Fleet.Instances)
      CPPUNIT_ASSERT(eventually(seconds(7), [&] {
        return call(Instance.Public, workCall("/jobs/a")).Status == 403;
      }));
    CPPUNIT_ASSERT(Fleet.runsOf("alpha") <= Runs + 4);
  });

  section("every instance uses the new configuration", [&] {
    for (const fleet_instance &Instance : Fleet.Instances)
      CPPUNIT_ASSERT(statusNumber(Instance, "config_version") == 2);
  });

  section("an older table in the platform is not activated", [&] {
    config_table Old = Fleet.Table;
    Old.Version = 1;
    Old.Keys[0].State = key_state::Active;
    Fleet.platform({.Method = "PUT",
                    .Target = "/objects/config/table",
                    .Body = formatTable(Old)});
    pauseFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(
        403U, call(Fleet.Instances[0].Public, workCall("/jobs/a")).Status);
  });

  section("an instance started while the platform is down gets it from peers",
          [&] {
            Fleet.platformFaults("{\"down\":true}");
            fleet_instance &Restarted = Fleet.Instances[1];
            Restarted.Process->kill();
            Fleet.start(Restarted);
            CPPUNIT_ASSERT(eventually(seconds(10), [&] {
              return statusNumber(Restarted, "config_version") == 2;
            }));
          });
}

STORY(platform_down) {
  fleet Fleet{fleet_plan{}};
  section("a fleet serves after its leases have expired", [&] {
    Fleet.platformFaults("{\"down\":true}");
    pauseFor(seconds(5));
    for (const fleet_instance &Instance : Fleet.Instances)
      CPPUNIT_ASSERT_EQUAL(200U,
                           call(Instance.Public, workCall("/jobs/a")).Status);
  });
  section("also when one instance is killed", [&] {
    Fleet.Instances[0].Process->kill();
    CPPUNIT_ASSERT(eventually(seconds(10), [&] {
      return call(Fleet.Instances[1].Public, workCall("/jobs/a")).Status == 200;
    }));
  });
}

STORY(rate_over_all_instances) {
  fleet_plan Plan;
  Plan.Regions = {{"north", 2}};
  Plan.Rate = 40;
  Plan.Burst = 20;
  Plan.Slots = 16;
  fleet Fleet(Plan);
  const auto Observe = [&](milliseconds Time) {
    const std::uint64_t Before = Fleet.runsOf("alpha");
    const auto Start = steady_clock::now();
    background_load Load(publicPorts(Fleet), workCall("/jobs/a"), 8);
    pauseFor(Time);
    Load.stop();
    const std::chrono::duration<double> Span = steady_clock::now() - Start;
    const std::uint64_t Ran = Fleet.runsOf("alpha") - Before;
    CPPUNIT_ASSERT(static_cast<double>(Ran) <=
                   Plan.Rate * Span.count() + Plan.Burst + 1);
    return static_cast<double>(Ran) / (Plan.Rate * Span.count());
  };

  section("a flood over every instance stays within rate and burst", [&] {
    const double Utilization = Observe(seconds(4));
    CPPUNIT_ASSERT(Utilization > 0.7);
  });
  section("also when a lease holder is paused past its lease and resumes", [&] {
    Fleet.Instances[0].Process->signal(SIGSTOP);
    std::thread Wake([&] {
      pauseFor(seconds(4));
      Fleet.Instances[0].Process->signal(SIGCONT);
    });
    Observe(seconds(8));
    Wake.join();
  });
  section("also when one is killed and restarted without its state", [&] {
    Fleet.Instances[1].Process->kill();
    Fleet.start(Fleet.Instances[1]);
    Observe(seconds(5));
  });
}

STORY(graceful_shutdown) {
  fleet_plan Plan;
  Plan.Work = milliseconds(150);
  Plan.Slots = 16;
  fleet Fleet(Plan);
  fleet_instance &Leaving = Fleet.Instances[0];
  const fleet_instance &Staying = Fleet.Instances[1];
  open_connection Open(Leaving.Public);
  CPPUNIT_ASSERT_EQUAL(200U, Open.call(workCall("/jobs/a")).Status);

  section("no request in flight is lost", [&] {
    background_load Load({Leaving.Public}, workCall("/jobs/a"), 4);
    pauseFor(milliseconds(500));
    const std::uint64_t Before = Load.Incomplete;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Before);
    Leaving.Process->signal(SIGTERM);
    CPPUNIT_ASSERT(
        eventually(seconds(3), [&] { return !lookupNames(Staying, Leaving); }));
    Load.stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Load.Incomplete.load());
    CPPUNIT_ASSERT(Load.Answered > 0);
  });
  section("an open connection is answered and then closed", [&] {
    const http_answer Answer = Open.call(workCall("/jobs/a"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), field(Answer, "Connection"));
  });
  section("the process exits by itself", [&] {
    const auto Code = Leaving.Process->wait(seconds(10));
    CPPUNIT_ASSERT(Code.has_value());
    CPPUNIT_ASSERT_EQUAL(0, *Code);
  });
}

STORY(region_limit) {
  constexpr std::uint32_t Limit = 4;
  fleet_plan Plan;
  Plan.TargetsPerDataCentre = 1;
  Plan.Slots = 16;
  Plan.Work = milliseconds(50);
  Plan.Edit = [](config_table &Table) {
    Table.Weights.push_back({"north", "work", "*", 1, Limit});
  };
  fleet Fleet(Plan);
  section(
      "a flood never runs more requests in the region than its row allows",
      [&] {
        background_load Load(publicPorts(Fleet), workCall("/jobs/a"), 12);
        pauseFor(seconds(3));
        Load.stop();
        CPPUNIT_ASSERT(Load.Answered > 0);
        CPPUNIT_ASSERT(Load.Refused > 0);
        const boost::json::object Record = Fleet.record();
        const auto &Row =
            Record.at("endpoints").as_object().at(Fleet.Table.Targets[0].Name);
        CPPUNIT_ASSERT(Row.at("most_running").to_number<std::uint32_t>() <=
                       Limit);
      });
}

STORY(draining_target) {
  fleet_plan Plan;
  Plan.Slots = 8;
  fleet Fleet(Plan);
  background_load Load(publicPorts(Fleet), workCall("/jobs/a"), 4);
  const std::string Target = Fleet.Table.Targets[0].Name;
  const auto Runs = [&] {
    return Fleet.record()
        .at("endpoints")
        .as_object()
        .at(Target)
        .as_object()
        .at("runs")
        .to_number<std::uint64_t>();
  };
  CPPUNIT_ASSERT(eventually(seconds(8), [&] { return Runs() > 0; }));
  section("a draining target gets no new requests after a few seconds", [&] {
    Fleet.Table.Targets[0].State = drain_state::Draining;
    Fleet.putTable();
    pauseFor(seconds(5));
    const std::uint64_t Before = Runs();
    pauseFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(Before, Runs());
  });
  section("other targets keep serving", [&] {
    Load.stop();
    CPPUNIT_ASSERT_EQUAL(
        200U, call(Fleet.Instances[0].Public, workCall("/jobs/a")).Status);
  });
}

namespace {

std::string ticketOf(const fleet_instance &Instance) {
  const auto Answer = call(Instance.Public, {.Target = "/v1/lookup"}).json();
  return std::string(Answer.at("ticket").as_string());
}

http_call payCall() {
  http_call Pay = workCall("/jobs/pay");
  Pay.Method = "POST";
  Pay.Body = "fee";
  Pay.Fields["X-Repeatable"] = "no";
  return Pay;
}

std::uint64_t runsOfKey(const fleet &Fleet, const std::string &Key) {
  const boost::json::object Record = Fleet.record();
  const auto *Count =
      Record.at("runs_by_idempotency_key").as_object().if_contains(Key);
  return Count == nullptr ? 0 : Count->to_number<std::uint64_t>();
}

} // namespace

STORY(at_most_once) {
  fleet Fleet{fleet_plan{}};
  http_call Pay = payCall();
  section("without a ticket it is not run and a ticket comes back", [&] {
    Pay.Fields["Idempotency-Key"] = "pay-1";
    const auto Answer = call(Fleet.Instances[0].Public, Pay);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket_needed"),
                         field(Answer, "X-Error"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), runsOfKey(Fleet, "pay-1"));
    Pay.Fields["X-Ticket"] = field(Answer, "X-Ticket");
  });
  section("with it, a repeat gets the first answer and runs nothing", [&] {
    const auto First = call(Fleet.Instances[0].Public, Pay);
    const auto Second = call(Fleet.Instances[0].Public, Pay);
    CPPUNIT_ASSERT_EQUAL(200U, First.Status);
    CPPUNIT_ASSERT_EQUAL(First.Body, Second.Body);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), runsOfKey(Fleet, "pay-1"));
  });
  section("another instance answers that the outcome is unknown", [&] {
    const auto Answer = call(Fleet.Instances[1].Public, Pay);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                         field(Answer, "X-Error"));
    CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"),
                         field(Answer, "X-Run-State"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), runsOfKey(Fleet, "pay-1"));
  });
}

STORY(at_most_once_after_losses) {
  fleet Fleet{fleet_plan{}};
  http_call Pay = payCall();
  section("a caller that disconnects and repeats does not run it twice", [&] {
    Pay.Target = "/jobs/pay?work_ms=800";
    Pay.Fields["Idempotency-Key"] = "pay-2";
    Pay.Fields["X-Ticket"] = ticketOf(Fleet.Instances[0]);
    Pay.Timeout = milliseconds(200);
    CPPUNIT_ASSERT_EQUAL(0U, call(Fleet.Instances[0].Public, Pay).Status);
    Pay.Timeout = milliseconds(5000);
    CPPUNIT_ASSERT(eventually(seconds(5), [&] {
      return call(Fleet.Instances[0].Public, Pay).Status == 200;
    }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), runsOfKey(Fleet, "pay-2"));
  });
  section("nor does one whose instance was killed and replaced", [&] {
    Pay.Fields["Idempotency-Key"] = "pay-3";
    Pay.Fields["X-Ticket"] = ticketOf(Fleet.Instances[0]);
    Pay.Timeout = milliseconds(200);
    call(Fleet.Instances[0].Public, Pay);
    Fleet.Instances[0].Process->kill();
    Fleet.start(Fleet.Instances[0]);
    CPPUNIT_ASSERT(Fleet.waitReady(Fleet.Instances[0]));
    Pay.Timeout = milliseconds(5000);
    const auto Answer = call(Fleet.Instances[0].Public, Pay);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                         field(Answer, "X-Error"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), runsOfKey(Fleet, "pay-3"));
  });
}

STORY(faulty_targets) {
  fleet_plan Plan;
  Plan.Slots = 8;
  Plan.TargetsPerDataCentre = 4;
  fleet Fleet(Plan);
  const std::uint16_t Port = Fleet.Instances[0].Public;

  section("unresponsive connections don't block a repeatable request", [&] {
    for (int I = 0; I < 20; ++I)
      call(Port, workCall("/jobs/a"));
    Fleet.targetFaults("{\"silence\":true}");
    for (int I = 0; I < 8; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, call(Port, workCall("/jobs/a")).Status);
  });
  section("the answer of another request never reaches the caller", [&] {
    Fleet.targetFaults("{\"crossed\":true}");
    const auto Answer = call(Port, workCall("/jobs/a"));
    CPPUNIT_ASSERT_EQUAL(std::string("target_failed"),
                         field(Answer, "X-Error"));
    Fleet.targetFaults("{\"crossed\":false}");
  });
  section("a truncated answer is not forwarded as complete", [&] {
    Fleet.targetFaults("{\"cut_answers\":true}");
    CPPUNIT_ASSERT_EQUAL(0U, call(Port, workCall("/jobs/a")).Status);
    Fleet.targetFaults("{\"cut_answers\":false}");
  });
  section("a refusal by the targets is reported as not run", [&] {
    Fleet.targetFaults("{\"shed\":true}");
    const auto Answer = call(Port, workCall("/jobs/shed"));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), field(Answer, "X-Run-State"));
    CPPUNIT_ASSERT(!field(Answer, "Retry-After").empty());
    Fleet.targetFaults("{\"shed\":false}");
  });
}

STORY(crashing_request) {
  fleet_plan Plan;
  Plan.TargetsPerDataCentre = 6;
  Plan.InstancesPerDataCentre = 1;
  fleet Fleet(Plan);
  const std::uint16_t Port = Fleet.Instances[0].Public;
  http_call Crash = workCall("/jobs/a?crash=1");
  section("it is refused after a few crashes, though its caller repeats", [&] {
    bool Quarantined = false;
    for (int I = 0; I < 10 && !Quarantined; ++I)
      Quarantined = field(call(Port, Crash), "X-Error") == "quarantined";
    CPPUNIT_ASSERT(Quarantined);
    std::uint64_t Deaths = 0;
    const boost::json::object Record = Fleet.record();
    for (const auto &Row : Record.at("endpoints").as_object())
      Deaths += Row.value().at("deaths").to_number<std::uint64_t>();
    CPPUNIT_ASSERT(Deaths <= 4);
  });
  section("other requests are served", [&] {
    CPPUNIT_ASSERT(eventually(seconds(5), [&] {
      return call(Port, workCall("/jobs/b")).Status == 200;
    }));
  });
}

STORY(upload) {
  fleet_plan Plan;
  Plan.InstancesPerDataCentre = 1;
  fleet Fleet(Plan);
  section("200 MB pass without growing the instance by more than 8 MB", [&] {
    constexpr std::size_t UploadBytes = 200u << 20;
    constexpr std::size_t MaxGrowth = 8u << 20;
    const std::size_t Before = Fleet.Instances[0].Process->residentBytes();
    std::atomic<std::size_t> Peak{0};
    std::atomic<bool> Done{false};
    std::thread Sampler([&] {
      while (!Done) {
        Peak =
            std::max(Peak.load(), Fleet.Instances[0].Process->residentBytes());
        pauseFor(milliseconds(5));
      }
    });
    http_call Upload = workCall("/jobs/upload");
    Upload.Method = "POST";
    Upload.Body = std::string(UploadBytes, 'u');
    Upload.Timeout = seconds(60);
    const auto Answer = call(Fleet.Instances[0].Public, Upload);
    Done = true;
    Sampler.join();
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
    CPPUNIT_ASSERT(Answer.Body.find("\"bytes\":209715200") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Peak < Before + MaxGrowth);
  });
}

STORY(cut_off_from_the_other_region) {
  fleet_plan Plan;
  Plan.Regions = {{"north", 1}, {"south", 1}};
  fleet Fleet(Plan);
  section("a region whose targets are gone is served by the other", [&] {
    for (target_row &Row : Fleet.Table.Targets)
      if (Row.DataCentre == "north-1")
        Row.State = drain_state::Draining;
    Fleet.putTable();
    CPPUNIT_ASSERT(eventually(seconds(8), [&] {
      const auto Answer = call(Fleet.Instances[0].Public, workCall("/jobs/a"));
      return Answer.Status == 200 &&
             Answer.Body.find("south") != std::string::npos;
    }));
  });
  section("with the other region killed, requests are refused as not run", [&] {
    for (fleet_instance &Instance : Fleet.Instances)
      if (Instance.DataCentre == "south-1")
        Instance.Process->kill();
    http_call Call = workCall("/jobs/a");
    Call.Fields["X-Deadline-Ms"] = "3000";
    const auto Answer = call(Fleet.Instances[0].Public, Call);
    CPPUNIT_ASSERT(Answer.Status >= 500);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), field(Answer, "X-Run-State"));
  });
}
