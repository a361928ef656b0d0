/// Stands in for callers: sends a load for a fixed time and checks every
/// answer.
#include "load.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace magnoliaspread {

namespace {

load_address readAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  return {Text.substr(0, Colon),
          static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

/// Reads rows of {"workspace","key","path","rate"}.
std::vector<workspace_load> readWorkspaces(const std::string &FileName) {
  std::ifstream File(FileName);
  std::ostringstream Text;
  Text << File.rdbuf();
  std::vector<workspace_load> Rows;
  const boost::json::value Parsed = boost::json::parse(Text.str());
  for (const auto &Row : Parsed.as_array())
    Rows.push_back({Row.at("workspace").as_string().c_str(),
                    Row.at("key").as_string().c_str(),
                    Row.at("path").as_string().c_str(),
                    Row.at("rate").to_number<double>()});
  return Rows;
}

} // namespace

} // namespace magnoliaspread

static int runProgram(int Argc, char **Argv) {
  using namespace magnoliaspread;
  CLI::App App("Sends a bounded load and checks every answer");
  load_plan Plan;
  std::vector<std::string> Entry;
  std::string LoadFile;
  int Seconds = 5;
  double Scale = 1;
  bool Json = false;
  App.add_option("--entry", Entry, "ADDRESS:PORT of instances")->required();
  App.add_option("--load", LoadFile, "workspaces, keys, paths and rates")
      ->required();
  App.add_option("--seconds", Seconds, "duration");
  App.add_option("--scale", Scale, "multiplies every rate");
  App.add_option("--seed", Plan.Seed, "seed of the arrivals");
  App.add_option("--body-bytes", Plan.BodyBytes, "size of request bodies");
  App.add_flag("--direct", Plan.Direct, "call the entry addresses themselves");
  App.add_flag("--at-most-once", Plan.AtMostOnce, "mark as not repeatable");
  App.add_flag("--progress", Plan.Progress, "a line each second");
  App.add_flag("--json", Json, "print the tally as JSON");
  CLI11_PARSE(App, Argc, Argv);
  Plan.Duration = std::chrono::seconds(Seconds);
  for (const std::string &Text : Entry)
    Plan.Entry.push_back(readAddress(Text));
  Plan.Workspaces = readWorkspaces(LoadFile);
  for (workspace_load &Workspace : Plan.Workspaces)
    Workspace.Rate *= Scale;
  const tally Tally = runLoad(Plan);
  std::cout << (Json ? formatTally(Tally) : summaryLine(Tally)) << std::endl;
  const workspace_tally Total = Tally.total();
  return Total.Sent > 0 && Total.Answered == Total.Sent ? 0 : 1;
}

int main(int Argc, char **Argv) {
  try {
    return runProgram(Argc, Argv);
  } catch (const std::exception &Problem) {
    std::fputs(Problem.what(), stderr);
    return 1;
  }
}
