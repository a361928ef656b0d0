#include <magnoliaspread/settings.h>
#include <magnoliaspread/table.h>

#include <magnoliaspread/story.h>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

using namespace magnoliaspread;

namespace {

const std::filesystem::path Examples = EXAMPLES_DIR;

std::string textOf(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  CPPUNIT_ASSERT_MESSAGE(Path.string(), File.good());
  return {std::istreambuf_iterator<char>(File), {}};
}

config_table tableOf(const std::string &Customer) {
  auto Read = parseTable(textOf(Examples / Customer / "table.json"));
  CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                         !failed(Read));
  return valueOf(Read);
}

std::uint32_t slotsOf(const config_table &Table, const std::string &Service) {
  std::uint32_t Slots = 0;
  for (const target_row &R : Table.Targets)
    if (R.Service == Service)
      Slots += R.Slots;
  return Slots;
}

void checkInstances(const std::string &Customer) {
  std::set<std::string> Names;
  std::set<std::uint16_t> Ports;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Examples / Customer / "instances")) {
    auto Read = loadSettings(Entry.path().string());
    CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                           !failed(Read));
    const instance_settings &Settings = valueOf(Read);
    Names.insert(Settings.Name);
    Ports.insert(
        {Settings.Public.Port, Settings.Internal.Port, Settings.Admin.Port});
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), Settings.Peers.size());
    CPPUNIT_ASSERT_EQUAL(Entry.path().stem().string(), Settings.Name);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t(12), Names.size());
  CPPUNIT_ASSERT_EQUAL(std::size_t(36), Ports.size());
}

void checkKeys(const std::string &Customer, const config_table &Table) {
  auto Keys = boost::json::parse(textOf(Examples / Customer / "keys.json"));
  for (const auto &Key : Keys.as_array()) {
    std::string Hash = hashKey(Key.at("key").as_string());
    bool Found = false;
    for (const key_row &R : Table.Keys)
      Found |= R.Hash == Hash && R.Id == Key.at("id").as_string() &&
               R.Workspace == Key.at("workspace").as_string();
    CPPUNIT_ASSERT(Found);
  }
}

} // namespace

STORY(the_examples_have_the_customers_sizes) {
  section("ventania", [&] {
    config_table Table = tableOf("ventania");
    CPPUNIT_ASSERT_EQUAL(28u * 4 + 12 * 3, slotsOf(Table, "calendar") +
                                               slotsOf(Table, "bookings") +
                                               slotsOf(Table, "pages"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(35'000'000),
                         Table.Links[0].BytesPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Table.Workspaces.size());
    checkKeys("ventania", Table);
    checkInstances("ventania");
  });
  section("licencias", [&] {
    config_table Table = tableOf("licencias");
    CPPUNIT_ASSERT_EQUAL(32u * 6 + 12 * 3, slotsOf(Table, "registry") +
                                               slotsOf(Table, "documents") +
                                               slotsOf(Table, "pages"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(500'000'000),
                         Table.Links[0].BytesPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Table.Workspaces.size());
    checkKeys("licencias", Table);
    checkInstances("licencias");
  });
}
