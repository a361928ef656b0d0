/// magnoliaspreadd: one entry instance.
#include <adapter.h>
#include <magnoliaspread/control.h>
#include <magnoliaspread/gateway.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/settings.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr const char *SettingsVariable = "MAGNOLIASPREAD_SETTINGS";
constexpr const char *Version = "magnoliaspreadd 0.1.0";

int reportError(const magnoliaspread::error &Error) {
  std::cerr << magnoliaspread::answerOf(Error.Kind).Name << ": " << Error.Detail
            << '\n';
  return ExitFailed;
}

} // namespace

static int runProgram(int Argc, char **Argv) {
  CLI::App App("Entry instance of the magnoliaspread traffic steering system");
  App.set_version_flag("--version", Version);
  std::string SettingsFile;
  bool CheckOnly = false;
  App.add_option("--settings", SettingsFile, "JSON settings of this instance")
      ->envname(SettingsVariable)
      ->required();
  App.add_flag("--check", CheckOnly, "check the settings and exit");
  App.footer("Exit codes: 0 drained or checked, 1 failed, above 100 usage.");
  CLI11_PARSE(App, Argc, Argv);
  const auto Settings = magnoliaspread::loadSettings(SettingsFile);
  if (magnoliaspread::failed(Settings))
    return reportError(magnoliaspread::errorOf(Settings));
  if (CheckOnly)
    return ExitOk;
  const magnoliaspread::system_clock Clock;
  if (magnoliaspread::valueOf(Settings).Gateway)
    magnoliaspread::initOutputLog(Argv[0], Clock);
  else
    magnoliaspread::initLog(Argv[0]);
  const magnoliaspread::instance_settings &Instance =
      magnoliaspread::valueOf(Settings);
  const auto Reload = [&] {
    return magnoliaspread::loadSettings(SettingsFile);
  };
  const auto Ended =
      Instance.Gateway
          ? magnoliaspread::runGateway(
                Instance, magnoliaspread::usersPlatform(), Clock, Reload)
          : magnoliaspread::runInstance(Instance, Clock);
  if (magnoliaspread::failed(Ended))
    return reportError(magnoliaspread::errorOf(Ended));
  return ExitOk;
}

int main(int Argc, char **Argv) {
  try {
    return runProgram(Argc, Argv);
  } catch (const std::exception &Problem) {
    std::fputs(Problem.what(), stderr);
    return 1;
  }
}
