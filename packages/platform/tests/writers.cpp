/// Property: concurrent writers that append marks to one object while answers
/// are lost add each mark at most once, and every acknowledged mark is present.
#include "store_fixture.h"

#include <magnoliaspread/memory_store.h>
#include <magnoliaspread/story.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <map>
#include <random>
#include <set>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr int FewMarks = 12;
constexpr int ManyMarks = 150;
constexpr const char *Name = "marks";

/// Adds marks one after the other: reads, appends, replaces the version read.
class mark_writer {
public:
  mark_writer(object_store &Store, std::string Prefix, int Marks,
              bool RetriesBlindly)
      : Store(Store), Prefix(std::move(Prefix)), Marks(Marks),
        RetriesBlindly(RetriesBlindly) {}

  void run() {
    if (!finished())
      Store.get({Name}, [this](result<stored_object> Read) {
        append(std::move(Read));
      });
  }

  bool finished() const { return Added == Marks; }

  std::set<std::string> Succeeded;

private:
  std::string mark() const { return Prefix + std::to_string(Added); }

  void append(result<stored_object> Read) {
    if (failed(Read))
      return run();
    boost::json::value Value = boost::json::parse(valueOf(Read).Value);
    const boost::json::value Mark(mark());
    boost::json::array &Rows = Value.as_array();
    const bool IsThere =
        std::find(Rows.begin(), Rows.end(), Mark) != Rows.end();
    if (CheckFirst && IsThere)
      return finishMark();
    Rows.push_back(Mark);
    put({Name, boost::json::serialize(Value), valueOf(Read).Version});
  }

  void put(const put_request &Request) {
    Store.put(Request, [this, Request](const result<put_answer> &Answer) {
      if (!failed(Answer)) {
        Succeeded.insert(mark());
        return finishMark();
      }
      const error_kind Kind = errorOf(Answer).Kind;
      if (RetriesBlindly && Kind == error_kind::PlatformUnavailable)
        return put(Request);
      // A conflict means that this write was not applied, but an earlier write
      // of the mark with unknown outcome may still be.
      CheckFirst = CheckFirst || Kind != error_kind::VersionConflict;
      run();
    });
  }

  void finishMark() {
    ++Added;
    CheckFirst = false;
    run();
  }

  object_store &Store;
  std::string Prefix;
  int Marks;
  bool RetriesBlindly;
  bool CheckFirst = false;
  int Added = 0;
};

struct outcome {
  bool Finished = false;
  int Duplicates = 0;
  int Missing = 0;
};

outcome countFaults(const std::string &Value,
                    const std::set<std::string> &Succeeded, bool Finished) {
  std::map<std::string, int> Counts;
  const boost::json::value Marks = boost::json::parse(Value);
  for (const boost::json::value &Mark : Marks.as_array())
    ++Counts[std::string(Mark.as_string())];
  outcome Outcome;
  Outcome.Finished = Finished;
  for (const auto &[Mark, Times] : Counts)
    Outcome.Duplicates += Times > 1 ? 1 : 0;
  for (const std::string &Mark : Succeeded)
    Outcome.Missing += Counts.contains(Mark) ? 0 : 1;
  return Outcome;
}

outcome runWriters(store_fixture &Fixture, object_store &First,
                   object_store &Second, int Marks, bool RetryBlindly) {
  mark_writer A(First, "a", Marks, RetryBlindly);
  mark_writer B(Second, "b", Marks, RetryBlindly);
  A.run();
  B.run();
  const bool Finished =
      Fixture.runUntil([&] { return A.finished() && B.finished(); });
  std::set<std::string> Succeeded = A.Succeeded;
  Succeeded.insert(B.Succeeded.begin(), B.Succeeded.end());
  result<stored_object> Last = error{};
  while (failed(Last))
    Last = Fixture.get(First, Name);
  return countFaults(valueOf(Last).Value, Succeeded, Finished);
}

outcome runAgainstServer(std::uint64_t Seed) {
  store_fixture Fixture;
  const auto First = Fixture.makeStore(Fixture.settings(), Seed * 2 + 1);
  const auto Second = Fixture.makeStore(Fixture.settings(), Seed * 2 + 2);
  Fixture.put(*First, {Name, "[]", NoObject});
  platform_faults Faults;
  Faults.LoseAnswers = 0.3;
  Faults.Seed = Seed;
  Fixture.Server.setFaults(Faults);
  return runWriters(Fixture, *First, *Second, FewMarks, false);
}

/// Changes the server's faults every few milliseconds until it is destroyed.
class fault_rotation {
public:
  fault_rotation(store_fixture &Fixture, std::uint64_t Seed)
      : Server(Fixture.Server), Random(Seed), Timer(Fixture.Io) {
    rotate();
  }

private:
  platform_faults drawFaults() {
    platform_faults Faults;
    Faults.Seed = Random();
    switch (Random() % 8) {
    case 0:
      Faults.Down = true;
      break;
    case 1:
      Faults.RefuseConnections = true;
      break;
    case 2:
      Faults.Delay = 150ms;
      break;
    case 3:
      Faults.LoseAnswers = 0.5;
      break;
    default:
      break;
    }
    return Faults;
  }

  void rotate() {
    Server.setFaults(drawFaults());
    Timer.expires_after(std::chrono::milliseconds(5 + Random() % 40));
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        rotate();
    });
  }

  platform_server &Server;
  std::mt19937_64 Random;
  boost::asio::steady_timer Timer;
};

outcome runThroughRotatingFaults(std::uint64_t Seed) {
  store_fixture Fixture;
  http_store_settings Settings = Fixture.settings();
  Settings.OperationTimeout = 200ms;
  const auto First = Fixture.makeStore(Settings, Seed * 2 + 1);
  const auto Second = Fixture.makeStore(Settings, Seed * 2 + 2);
  Fixture.put(*First, {Name, "[]", NoObject});
  const fault_rotation Rotation(Fixture, Seed);
  return runWriters(Fixture, *First, *Second, ManyMarks, false);
}

/// Naive variant: a write without an answer is retried unchanged.
outcome runBlindRetry(std::uint64_t Seed) {
  store_fixture Fixture;
  memory_platform Platform(Fixture.Clock);
  Platform.Objects.put({Name, "[]", NoObject});
  memory_store_faults Faults;
  Faults.LoseAnswers = 0.3;
  Faults.Seed = Seed;
  Platform.setFaults(Faults);
  const post_function Post = [&](std::function<void()> Task) {
    boost::asio::post(Fixture.Io, std::move(Task));
  };
  memory_store First(Platform, Fixture.Clock, Post);
  memory_store Second(Platform, Fixture.Clock, Post);
  return runWriters(Fixture, First, Second, FewMarks, true);
}

} // namespace

STORY(writers_at_once_with_lost_answers) {
  section("retrying a lost write unchanged duplicates marks", [&] {
    int Duplicates = 0;
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed)
      Duplicates += runBlindRetry(Seed).Duplicates;
    CPPUNIT_ASSERT(Duplicates > 0);
  });
  const auto ExpectEachOnce = [](const outcome &Outcome, std::uint64_t Seed) {
    const std::string Message = "seed " + std::to_string(Seed);
    CPPUNIT_ASSERT_MESSAGE(Message, Outcome.Finished);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.Duplicates);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.Missing);
  };
  section("reading the write back first adds each mark once", [&] {
    for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
      ExpectEachOnce(runAgainstServer(Seed), Seed);
  });
  section("also while the faults of the platform change", [&] {
    for (std::uint64_t Seed = 1; Seed <= 6; ++Seed)
      ExpectEachOnce(runThroughRotatingFaults(Seed), Seed);
  });
}
