/// An instance's registration in the platform, and what it reads of others.
#include "rostersys_p.h"

#include <magnoliaspread/memory_store.h>
#include <magnoliaspread/story.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Tick{50};

/// An instance of a region, with its own connection to the store.
struct rostered_instance {
  rostered_instance(memory_platform &Platform, const fake_clock &Clock,
                    post_function Post, const std::string &Name,
                    std::uint64_t Incarnation)
      : Store(Platform, Clock, std::move(Post)) {
    Settings.Name = Name;
    Settings.Region = "north";
    Settings.DataCentre = "north-a";
    Settings.Internal = {Name, 7560};
    Settings.Gateway.emplace();
    Roster.emplace(Store, Clock, Settings, Incarnation, Incarnation);
  }

  instance_settings Settings;
  memory_store Store;
  std::optional<roster_system> Roster;
};

class roster_fixture {
public:
  rostered_instance &start(const std::string &Name, std::uint64_t Incarnation) {
    Instances.push_back(std::make_unique<rostered_instance>(
        Platform, Clock,
        [this](std::function<void()> Task) {
          boost::asio::post(Context, std::move(Task));
        },
        Name, Incarnation));
    return *Instances.back();
  }

  /// All running instances are alive; the first reads for the region.
  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Tick) {
      Clock.advance(Tick);
      for (const auto &Instance : Instances)
        Instance->Roster->tick(
            Instance == Instances.front(),
            [&](const std::string &Name) { return isRunning(Name); });
      Context.restart();
      Context.run();
    }
  }

  void stop(const rostered_instance &Instance) {
    std::erase_if(Instances,
                  [&](const auto &Row) { return Row.get() == &Instance; });
  }

  std::string stored(const std::string &Name) const {
    for (const stored_object &Object : Platform.Objects.list("instances/"))
      if (Object.Name == "instances/" + Name)
        return Object.Value;
    return {};
  }

  bool hasState(const std::string &Name, std::string_view State) const {
    return stored(Name).find("\"state\":\"" + std::string(State) + "\"") !=
           std::string::npos;
  }

  fake_clock Clock;
  boost::asio::io_context Context;
  memory_platform Platform{Clock};

private:
  bool isRunning(const std::string &Name) const {
    return std::any_of(
        Instances.begin(), Instances.end(),
        [&](const auto &Row) { return Row->Settings.Name == Name; });
  }

  std::vector<std::unique_ptr<rostered_instance>> Instances;
};

} // namespace

STORY(registration_of_an_instance) {
  roster_fixture Fixture;
  rostered_instance &First = Fixture.start("first", 1);

  section("the first of a region mints at once", [&] {
    Fixture.run(1000ms);
    CPPUNIT_ASSERT(First.Roster->roster().minting());
    CPPUNIT_ASSERT(Fixture.hasState("first", "live"));
  });
  rostered_instance &Second = Fixture.start("second", 2);
  section("one that joins mints when the others' leases are over", [&] {
    Fixture.run(6000ms);
    CPPUNIT_ASSERT(Fixture.hasState("second", "joining"));
    CPPUNIT_ASSERT(!Second.Roster->roster().minting());
    Fixture.run(1500ms);
    CPPUNIT_ASSERT(Fixture.hasState("second", "live"));
    CPPUNIT_ASSERT(Second.Roster->roster().minting());
  });
  section("both know each other's addresses", [&] {
    Fixture.run(2000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.Roster->seeds().size());
    CPPUNIT_ASSERT_EQUAL(std::string("second"),
                         First.Roster->seeds().front().Internal.Address);
  });
  section("a process that starts under a live name mints at once", [&] {
    Fixture.stop(Second);
    rostered_instance &Again = Fixture.start("second", 3);
    Fixture.run(500ms);
    CPPUNIT_ASSERT(Again.Roster->roster().minting());
    CPPUNIT_ASSERT(Fixture.stored("second").find("\"3\"") != std::string::npos);
    section("and registers as leaving when it stops", [&] {
      Again.Roster->leave();
      CPPUNIT_ASSERT(!Again.Roster->roster().minting());
      Fixture.run(500ms);
      CPPUNIT_ASSERT(Fixture.hasState("second", "leaving"));
      Fixture.stop(Again);
    });
  });
  section("after it left it has to wait", [&] {
    rostered_instance &Again = Fixture.start("second", 4);
    Fixture.run(3000ms);
    CPPUNIT_ASSERT(Fixture.hasState("second", "joining"));
    Fixture.run(5000ms);
    CPPUNIT_ASSERT(Again.Roster->roster().minting());
    Fixture.stop(Again);
  });
  section("a silent one is marked as gone and removed", [&] {
    Fixture.run(9000ms);
    CPPUNIT_ASSERT(!Fixture.hasState("second", "live"));
    Fixture.run(9000ms);
    CPPUNIT_ASSERT(Fixture.hasState("second", "gone"));
    Fixture.run(40000ms);
    CPPUNIT_ASSERT(Fixture.stored("second").empty());
  });
}

STORY(registration_with_a_faulty_store) {
  roster_fixture Fixture;
  Fixture.start("first", 1);
  Fixture.run(1000ms);
  rostered_instance &Second = Fixture.start("second", 2);
  section("writes whose answers are lost are found by reading", [&] {
    Fixture.Platform.setFaults({.LoseAnswers = 0.5});
    Fixture.run(12000ms);
    CPPUNIT_ASSERT(Second.Roster->roster().minting());
    Fixture.Platform.setFaults({});
  });
  section("an odd registration of another writer hides no other", [&] {
    for (const char *Value :
         {"{}", "[]", "\"x\"", R"({"internal":{"address":1,"port":"x"}})",
          R"({"internal":7,"state":"live"})"})
      Second.Store.put({"instances/odd", Value, {}},
                       [](const result<put_answer> &) {});
    Fixture.run(4000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Second.Roster->roster().rows().size());
  });
  section("nothing is known to be current while the store is away", [&] {
    Fixture.Platform.setFaults({.Down = true});
    Fixture.run(7000ms);
    CPPUNIT_ASSERT(Second.Roster->roster().leaseEnd() < Fixture.Clock.boot());
    Fixture.Platform.setFaults({});
    Fixture.run(3000ms);
    CPPUNIT_ASSERT(Second.Roster->roster().leaseEnd() > Fixture.Clock.boot());
  });
}

STORY(rows_of_a_peer) {
  roster_fixture Fixture;
  rostered_instance &First = Fixture.start("first", 1);
  Fixture.run(1000ms);
  section("malformed ones are refused", [&] {
    for (const char *Text :
         {"", "[]", "{}", R"({"era":0,"fleet":1,"rows":[1]})",
          R"({"era":0,"fleet":1,"rows":[["a"]]})",
          R"({"era":0,"fleet":1,"rows":[["a","odd"]]})",
          R"({"era":-1,"fleet":1,"rows":[]})",
          R"({"era":0,"fleet":"x","rows":[]})"})
      CPPUNIT_ASSERT(
          failed(First.Roster->applyRowsText(Text, Fixture.Clock.boot())));
  });
  section("what one instance sends another applies", [&] {
    rostered_instance &Second = Fixture.start("second", 2);
    const std::string Text = First.Roster->rowsText();
    CPPUNIT_ASSERT(
        !failed(Second.Roster->applyRowsText(Text, Fixture.Clock.boot())));
    CPPUNIT_ASSERT(Second.Roster->roster().rows() ==
                   First.Roster->roster().rows());
    CPPUNIT_ASSERT_EQUAL(First.Roster->roster().stamp().Hash,
                         Second.Roster->roster().stamp().Hash);
  });
}
