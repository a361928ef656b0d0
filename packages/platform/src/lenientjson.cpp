#include "lenientjson_p.h"

#include <magnoliaspread/log.h>

#include <boost/json/parse.hpp>
#include <cmath>
#include <cstdlib>

namespace magnoliaspread {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxDepth = 64;
constexpr std::string_view NumberCharacters = "+-.0123456789Ee";

/// The end of the string literal that begins at \p Begin.
std::size_t endOfString(std::string_view Text, std::size_t Begin) {
  for (std::size_t I = Begin + 1; I < Text.size(); ++I)
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  return Text.size();
}

} // namespace

std::string replaceUnreadableValues(std::string_view Text) {
  std::string Copy;
  Copy.reserve(Text.size());
  std::size_t Depth = 0;
  for (std::size_t I = 0; I < Text.size();) {
    const char Character = Text[I];
    const bool Keep = Depth <= MaxDepth;
    std::size_t End = I + 1;
    if (Character == '"') {
      End = endOfString(Text, I);
    } else if (Character == '[' || Character == '{') {
      if (++Depth == MaxDepth + 1) {
        Copy += "null";
        I = End;
        continue;
      }
    } else if (Character == ']' || Character == '}') {
      Depth -= Depth > 0 ? 1 : 0;
    } else if (NumberCharacters.find(Character) != std::string_view::npos) {
      End = std::min(Text.find_first_not_of(NumberCharacters, I), Text.size());
      const std::string Number(Text.substr(I, End - I));
      if (Keep && std::isinf(std::strtod(Number.c_str(), nullptr))) {
        Copy += "null";
        I = End;
        continue;
      }
    }
    if (Keep)
      Copy += Text.substr(I, End - I);
    I = End;
  }
  return Copy;
}

json::value parseLenient(const std::string &Text) {
  json::parse_options Options;
  Options.max_depth = MaxDepth;
  Options.allow_invalid_utf8 = true;
  boost::system::error_code Failure;
  json::value Parsed = json::parse(Text, Failure, {}, Options);
  if (!Failure)
    return Parsed;
  const std::string Detail = Failure.message();
  Parsed = json::parse(replaceUnreadableValues(Text), Failure, {}, Options);
  logEvent(log_level::Warning, "store_answer_unreadable",
           {{"detail", Detail}, {"values_left_out", Failure ? 0 : 1}});
  return Failure ? json::value() : Parsed;
}

} // namespace magnoliaspread
