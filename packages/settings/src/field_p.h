/// Typed fields of rows and settings: their names, allowed values, and
/// conversion from and to text. JSON, CSV and row edits share these
/// descriptions.
#ifndef MAGNOLIASPREAD_FIELD_P_H
#define MAGNOLIASPREAD_FIELD_P_H

#include <magnoliaspread/table.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// Allowed values of a text field.
enum class text_rule : std::uint8_t {
  Name,
  NameOrAny,
  IpAddress,
  PathPrefix,
  KeyHash,
  /// Any string; never shown in messages.
  Secret,
  AnyText,
};

/// Key fields identify a row within its kind; they are required too.
enum class presence : std::uint8_t { Key, Required, Optional };

struct field_spec {
  std::string_view Name;
  presence Presence = presence::Optional;
  text_rule Text = text_rule::Name;
  /// Range of a number, inclusive.
  double Min = 0;
  double Max = 0;
};

constexpr field_spec textField(std::string_view Name, presence Presence,
                               text_rule Rule) {
  return {Name, Presence, Rule, 0, 0};
}

constexpr field_spec numberField(std::string_view Name, presence Presence,
                                 double Min, double Max) {
  return {Name, Presence, text_rule::AnyText, Min, Max};
}

constexpr field_spec choiceField(std::string_view Name) {
  return {Name, presence::Optional, text_rule::AnyText, 0, 0};
}

template <class T>
concept whole_number = std::integral<T> && !std::same_as<T, bool>;

/// Rounds to six decimals, so that a number survives any sequence of reads and
/// writes unchanged.
double roundNumber(double Value);

/// Describes a field's allowed values for error messages.
std::string allowedText(const field_spec &Field, const std::string &);
std::string allowedText(const field_spec &Field, bool);
std::string allowedText(const field_spec &Field, drain_state);
std::string allowedText(const field_spec &Field, key_state);
std::string allowedText(const field_spec &Field, double);
std::string allowedText(const field_spec &Field, std::chrono::milliseconds);
std::string allowedWhole(const field_spec &Field);
template <whole_number T> std::string allowedText(const field_spec &Field, T) {
  return allowedWhole(Field);
}

/// Whether the field allows \p Value.
bool allows(const field_spec &Field, const std::string &Value);
bool allows(const field_spec &Field, double Value);
inline bool allows(const field_spec &, bool) { return true; }
inline bool allows(const field_spec &, drain_state) { return true; }
inline bool allows(const field_spec &, key_state) { return true; }
inline bool allows(const field_spec &Field, std::chrono::milliseconds Value) {
  return allows(Field, static_cast<double>(Value.count()));
}
template <whole_number T> bool allows(const field_spec &Field, T Value) {
  return allows(Field, static_cast<double>(Value));
}

/// The value as plain text, without quotes.
std::string toText(const std::string &Value);
std::string toText(bool Value);
std::string toText(drain_state Value);
std::string toText(key_state Value);
std::string toText(double Value);
std::string toText(std::chrono::milliseconds Value);
template <whole_number T> std::string toText(T Value) {
  return std::to_string(Value);
}

/// Reads \p Text into \p Value; false when it has another type. Ranges are
/// checked by allows().
bool fromText(std::string_view Text, std::string &Value);
bool fromText(std::string_view Text, bool &Value);
bool fromText(std::string_view Text, drain_state &Value);
bool fromText(std::string_view Text, key_state &Value);
bool fromText(std::string_view Text, double &Value);
bool fromText(std::string_view Text, std::int64_t &Value);
bool fromText(std::string_view Text, std::uint64_t &Value);
bool fromText(std::string_view Text, std::uint32_t &Value);
bool fromText(std::string_view Text, std::uint16_t &Value);
bool fromText(std::string_view Text, std::chrono::milliseconds &Value);

/// Whether messages must not show the field's value. A hash field may contain
/// the key itself by mistake.
inline bool isSecret(const field_spec &Field) {
  return Field.Text == text_rule::KeyHash || Field.Text == text_rule::Secret;
}

/// The rejected value as shown in a message.
std::string shownValue(const field_spec &Field, std::string_view Value);

/// "<where>: field "<field>" is <value>, allowed: <allowed>".
std::string faultText(std::string_view Where, std::string_view Field,
                      std::string_view Value, std::string_view Allowed);

} // namespace magnoliaspread

#endif
