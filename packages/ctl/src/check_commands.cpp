#include "commands_p.h"

#include <boost/json/array.hpp>

namespace magnoliaspread {

exit_code checkSettingsFiles(ctl_context &Context,
                             const std::vector<std::string> &Files) {
  for (const std::string &File : Files) {
    auto Settings = loadSettings(File);
    if (failed(Settings))
      return report(Context, errorOf(Settings));
  }
  std::string Count = std::to_string(Files.size());
  print(Context, {{"ok", true}, {"files", Files.size()}},
        "ok files=" + Count + "\n");
  return exit_code::Ok;
}

exit_code checkTableFile(ctl_context &Context, const std::string &File) {
  auto Text = readFile(File);
  if (failed(Text))
    return report(Context, errorOf(Text));
  auto Table = parseTable(valueOf(Text));
  if (failed(Table)) {
    error Failure = errorOf(Table);
    Failure.Detail = File + ": " + Failure.Detail;
    return report(Context, Failure);
  }
  std::uint64_t Version = valueOf(Table).Version;
  print(Context, {{"ok", true}, {"version", Version}},
        "ok version=" + std::to_string(Version) + "\n");
  return exit_code::Ok;
}

} // namespace magnoliaspread
