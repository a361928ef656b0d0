/// Runs commands against an in-memory platform.
#ifndef MAGNOLIASPREAD_TESTS_CLI_BENCH_H
#define MAGNOLIASPREAD_TESTS_CLI_BENCH_H

#include "cli_p.h"

#include <magnoliaspread/memory_store.h>
#include <magnoliaspread/story.h>
#include <magnoliaspread/table.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace magnoliaspread {

/// A link to an in-memory platform.
class memory_link final : public platform_link {
public:
  memory_link(memory_platform &Platform, const fake_clock &Clock)
      : Store(Platform, Clock, [this](std::function<void()> Run) {
          Posted.push_back(std::move(Run));
        }) {}

  object_store &store() override { return Store; }

  bool step() override {
    if (Posted.empty())
      return false;
    std::function<void()> Run = std::move(Posted.front());
    Posted.pop_front();
    Run();
    return true;
  }

private:
  std::deque<std::function<void()>> Posted;
  memory_store Store;
};

/// Runs commands against an in-memory platform, with a temporary directory.
struct bench {
  bench() {
    std::string Name = "magnoliactl-test-" + std::to_string(getpid());
    Folder = std::filesystem::temp_directory_path() / Name;
    std::filesystem::create_directories(Folder);
  }
  ~bench() { std::filesystem::remove_all(Folder); }

  exit_code run(const std::vector<std::string> &Arguments) {
    Out.str("");
    Err.str("");
    return runCli(Arguments, Out, Err, [this](const endpoint_address &) {
      return std::make_unique<memory_link>(Platform, Clock);
    });
  }

  void expect(exit_code Code, const std::vector<std::string> &Arguments) {
    exit_code Got = run(Arguments);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Arguments.front() + ": " + Err.str(),
                                 static_cast<int>(Code), static_cast<int>(Got));
  }

  config_table table() {
    expect(exit_code::Ok, {"table", "show", "--json"});
    auto Table = parseTable(Out.str());
    CPPUNIT_ASSERT(!failed(Table));
    return valueOf(Table);
  }

  std::string path(const std::string &Name) const {
    return (Folder / Name).string();
  }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::ofstream(path(Name)) << Text;
    return path(Name);
  }

  std::string read(const std::string &Name) const {
    std::ifstream File(path(Name));
    return {std::istreambuf_iterator<char>(File), {}};
  }

  fake_clock Clock;
  memory_platform Platform{Clock};
  std::filesystem::path Folder;
  std::ostringstream Out;
  std::ostringstream Err;
};

inline bool contains(const std::string &Text, const std::string &Piece) {
  return Text.find(Piece) != Text.npos;
}

} // namespace magnoliaspread

#endif
