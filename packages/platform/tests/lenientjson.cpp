/// Values of other writers that can't be read hide no other value.
#include "lenientjson_p.h"

#include <boost/json.hpp>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
namespace json = boost::json;

namespace {

std::string listWith(const std::string &Odd) {
  return "{\"items\":[{\"a\":" + Odd + "},{\"b\":[1,\"]\"]}]}";
}

} // namespace

// Guards against one odd entry of a list that makes all of it unreadable.
STORY(unreadable_values_are_left_out) {
  const std::string Deep =
      std::string(100000, '[') + "\"]\\\"\"" + std::string(100000, ']');
  for (const std::string &Odd :
       {Deep, std::string("1e999999999999"), std::string("-1e999999999999"),
        "\"" + std::string("\xff\xfe") + "\"", std::string("null")}) {
    const json::value Parsed = parseLenient(listWith(Odd));
    CPPUNIT_ASSERT(Parsed.is_object());
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"b\":[1,\"]\"]}"),
        std::string(json::serialize(Parsed.at("items").as_array().at(1))));
  }
  section("what can be read stays as it is", [] {
    const std::string Text =
        "{\"a\":[true,false,null,-1.5e3,\"[[\\\"\",{}],\"e\":0}";
    CPPUNIT_ASSERT_EQUAL(Text, replaceUnreadableValues(Text));
  });
  section("what is no JSON reads as null", [] {
    for (const char *Text : {"", "[", "{\"a\":}", "]", "\"", "[1,"})
      CPPUNIT_ASSERT(parseLenient(Text).is_null());
  });
}
