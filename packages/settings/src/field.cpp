#include "field_p.h"

#include <arpa/inet.h>
#include <charconv>
#include <cmath>

namespace magnoliaspread {
namespace {

constexpr double DecimalScale = 1e6;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxPrefixLength = 256;
constexpr std::size_t KeyHashLength = 64;

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool isNameCharacter(char C) {
  bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
  return Letter || isDigit(C) || C == '-' || C == '_' || C == '.';
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  for (char C : Text)
    if (!isNameCharacter(C))
      return false;
  return true;
}

bool isIpAddress(const std::string &Text) {
  unsigned char Address[sizeof(in6_addr)];
  return inet_pton(AF_INET, Text.c_str(), Address) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Address) == 1;
}

bool isPathPrefix(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxPrefixLength || Text.front() != '/')
    return false;
  for (char C : Text)
    if (C <= ' ' || C > '~' || C == '?' || C == '#')
      return false;
  return true;
}

bool isKeyHash(std::string_view Text) {
  if (Text.size() != KeyHashLength)
    return false;
  for (char C : Text)
    if (!isDigit(C) && (C < 'a' || C > 'f'))
      return false;
  return true;
}

template <class Number> bool parseNumber(std::string_view Text, Number &Value) {
  Number Read{};
  const char *End = Text.data() + Text.size();
  auto [Stop, Fault] = std::from_chars(Text.data(), End, Read);
  if (Fault != std::errc() || Stop != End)
    return false;
  Value = Read;
  return true;
}

std::string rangeText(const field_spec &Field) {
  return "from " + toText(Field.Min) + " to " + toText(Field.Max);
}

} // namespace

double roundNumber(double Value) {
  return std::round(Value * DecimalScale) / DecimalScale;
}

std::string allowedText(const field_spec &Field, const std::string &) {
  switch (Field.Text) {
  case text_rule::Name:
    return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
  case text_rule::NameOrAny:
    return "\"*\" or a name of 1 to 64 letters, digits, '.', '_' or '-'";
  case text_rule::IpAddress:
    return "an IP number such as \"127.0.0.1\"";
  case text_rule::PathPrefix:
    return "a path prefix such as \"/calendar/\"";
  case text_rule::KeyHash:
    return "a BLAKE2b-256 hash of 64 lower-case hex digits";
  case text_rule::Secret:
  case text_rule::AnyText:
    break;
  }
  return "a string";
}

std::string allowedText(const field_spec &, bool) { return "true or false"; }

std::string allowedText(const field_spec &, drain_state) {
  return "\"active\" or \"draining\"";
}

std::string allowedText(const field_spec &, key_state) {
  return "\"active\" or \"withdrawn\"";
}

std::string allowedText(const field_spec &Field, double) {
  return "a number " + rangeText(Field);
}

std::string allowedText(const field_spec &Field, std::chrono::milliseconds) {
  return "a whole number of milliseconds " + rangeText(Field);
}

std::string allowedWhole(const field_spec &Field) {
  return "a whole number " + rangeText(Field);
}

bool allows(const field_spec &Field, const std::string &Value) {
  switch (Field.Text) {
  case text_rule::Name:
    return isName(Value);
  case text_rule::NameOrAny:
    return Value == AnyName || isName(Value);
  case text_rule::IpAddress:
    return isIpAddress(Value);
  case text_rule::PathPrefix:
    return isPathPrefix(Value);
  case text_rule::KeyHash:
    return isKeyHash(Value);
  case text_rule::Secret:
  case text_rule::AnyText:
    break;
  }
  return true;
}

bool allows(const field_spec &Field, double Value) {
  return Value >= Field.Min && Value <= Field.Max;
}

std::string toText(const std::string &Value) { return Value; }

std::string toText(bool Value) { return Value ? "true" : "false"; }

std::string toText(drain_state Value) {
  return Value == drain_state::Active ? "active" : "draining";
}

std::string toText(key_state Value) {
  return Value == key_state::Active ? "active" : "withdrawn";
}

std::string toText(double Value) {
  // Fits the longest fixed notation of a double.
  char Text[400];
  auto [End, Fault] =
      std::to_chars(Text, Text + sizeof(Text), Value, std::chars_format::fixed);
  return Fault == std::errc() ? std::string(Text, End) : std::string("nan");
}

std::string toText(std::chrono::milliseconds Value) {
  return std::to_string(Value.count());
}

bool fromText(std::string_view Text, std::string &Value) {
  Value = Text;
  return true;
}

bool fromText(std::string_view Text, bool &Value) {
  Value = Text == "true";
  return Value || Text == "false";
}

bool fromText(std::string_view Text, drain_state &Value) {
  bool Active = Text == "active";
  Value = Active ? drain_state::Active : drain_state::Draining;
  return Active || Text == "draining";
}

bool fromText(std::string_view Text, key_state &Value) {
  bool Active = Text == "active";
  Value = Active ? key_state::Active : key_state::Withdrawn;
  return Active || Text == "withdrawn";
}

bool fromText(std::string_view Text, double &Value) {
  if (!parseNumber(Text, Value) || !std::isfinite(Value))
    return false;
  Value = roundNumber(Value);
  return true;
}

bool fromText(std::string_view Text, std::int64_t &Value) {
  return parseNumber(Text, Value);
}

bool fromText(std::string_view Text, std::uint64_t &Value) {
  return parseNumber(Text, Value);
}

bool fromText(std::string_view Text, std::uint32_t &Value) {
  return parseNumber(Text, Value);
}

bool fromText(std::string_view Text, std::uint16_t &Value) {
  return parseNumber(Text, Value);
}

bool fromText(std::string_view Text, std::chrono::milliseconds &Value) {
  std::int64_t Count = 0;
  if (!parseNumber(Text, Count))
    return false;
  Value = std::chrono::milliseconds(Count);
  return true;
}

std::string shownValue(const field_spec &Field, std::string_view Value) {
  if (isSecret(Field))
    return "malformed";
  return "\"" + std::string(Value) + "\"";
}

std::string faultText(std::string_view Where, std::string_view Field,
                      std::string_view Value, std::string_view Allowed) {
  std::string Text(Where);
  Text.append(": field \"").append(Field).append("\" is ").append(Value);
  return Text.append(", allowed: ").append(Allowed);
}

} // namespace magnoliaspread
