/// The fields of every kind of table row. A visitor is called with each
/// field_spec and the member that it describes.
#ifndef MAGNOLIASPREAD_SCHEMA_P_H
#define MAGNOLIASPREAD_SCHEMA_P_H

#include "field_p.h"

#include <type_traits>

namespace magnoliaspread {

inline constexpr double MaxMilliseconds = 24.0 * 3600 * 1000;
inline constexpr double MaxCount = 1e6;
inline constexpr double MaxRequestRate = 1e7;
inline constexpr double MaxLinkBytes = 1e13;
inline constexpr double MaxPort = 65535;
inline constexpr double MaxWholeNumber = 9e15;
inline constexpr std::uint32_t MaxPermille = 1000;
inline constexpr double MaxQuotaShares = 64;
inline constexpr double MinRampPercent = 0.001;
inline constexpr double MaxRampPercent = 60000;
inline constexpr double MaxPercent = 100;

/// Row types with or without const.
template <class Row, class Plain>
concept row_of = std::same_as<std::remove_const_t<Row>, Plain>;

template <class Visitor, row_of<region_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("name", presence::Key, text_rule::Name), R.Name);
  Visit(choiceField("state"), R.State);
}

template <class Visitor, row_of<data_centre_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("name", presence::Key, text_rule::Name), R.Name);
  Visit(textField("region", presence::Required, text_rule::Name), R.Region);
  Visit(numberField("quota_permille", presence::Optional, 0, MaxPermille),
        R.QuotaPermille);
  Visit(numberField("quota_shares", presence::Optional, 1, MaxQuotaShares),
        R.QuotaShares);
  Visit(choiceField("state"), R.State);
}

template <class Visitor, row_of<link_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("from", presence::Key, text_rule::Name), R.From);
  Visit(textField("to", presence::Key, text_rule::Name), R.To);
  Visit(numberField("bytes_per_second", presence::Required, 1, MaxLinkBytes),
        R.BytesPerSecond);
}

template <class Visitor, row_of<service_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("name", presence::Key, text_rule::Name), R.Name);
  Visit(textField("prefix", presence::Required, text_rule::PathPrefix),
        R.Prefix);
  Visit(choiceField("open"), R.Open);
  Visit(numberField("deadline_ms", presence::Optional, 1, MaxMilliseconds),
        R.Deadline);
  Visit(numberField("progress_timeout_ms", presence::Optional, 1,
                    MaxMilliseconds),
        R.ProgressTimeout);
  Visit(
      numberField("latency_target_ms", presence::Optional, 1, MaxMilliseconds),
      R.LatencyTarget);
}

template <class Visitor, row_of<target_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("name", presence::Key, text_rule::Name), R.Name);
  Visit(textField("service", presence::Required, text_rule::Name), R.Service);
  Visit(textField("data_centre", presence::Required, text_rule::Name),
        R.DataCentre);
  Visit(textField("address", presence::Required, text_rule::IpAddress),
        R.Address);
  Visit(numberField("port", presence::Required, 1, MaxPort), R.Port);
  Visit(numberField("slots", presence::Optional, 1, MaxCount), R.Slots);
  Visit(choiceField("state"), R.State);
}

template <class Visitor, row_of<workspace_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("name", presence::Key, text_rule::Name), R.Name);
  Visit(numberField("rate", presence::Required, 0, MaxRequestRate), R.Rate);
  Visit(numberField("burst", presence::Required, 0, MaxRequestRate), R.Burst);
  Visit(numberField("weight", presence::Optional, 0.001, MaxCount), R.Weight);
}

template <class Visitor, row_of<key_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("id", presence::Key, text_rule::Name), R.Id);
  Visit(textField("workspace", presence::Required, text_rule::Name),
        R.Workspace);
  Visit(textField("hash", presence::Required, text_rule::KeyHash), R.Hash);
  Visit(choiceField("state"), R.State);
}

template <class Visitor, row_of<weight_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("region", presence::Key, text_rule::Name), R.Region);
  Visit(textField("service", presence::Key, text_rule::Name), R.Service);
  Visit(textField("workspace", presence::Key, text_rule::NameOrAny),
        R.Workspace);
  Visit(numberField("weight", presence::Optional, 0, MaxCount), R.Weight);
  Visit(numberField("limit", presence::Optional, 0, MaxCount), R.Limit);
}

template <class Visitor, row_of<shift_row> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("service", presence::Key, text_rule::NameOrAny), R.Service);
  Visit(numberField("ramp_percent_per_minute", presence::Optional,
                    MinRampPercent, MaxRampPercent),
        R.RampPercentPerMinute);
  Visit(numberField("cap_percent", presence::Optional, 0, MaxPercent),
        R.CapPercent);
}

template <class Visitor, row_of<edit_record> Row>
void visitFields(Visitor &Visit, Row &R) {
  Visit(textField("id", presence::Key, text_rule::Name), R.Id);
  Visit(numberField("version", presence::Required, 0, MaxWholeNumber),
        R.Version);
  Visit(numberField("at_ms", presence::Required, 0, MaxWholeNumber), R.AtMs);
}

/// Calls \p Visit with the name and the rows of each kind that operators
/// edit, in the order of the JSON.
template <class Visitor, class Table>
void visitKinds(Visitor &Visit, Table &T) {
  Visit("regions", T.Regions);
  Visit("data_centres", T.DataCentres);
  Visit("links", T.Links);
  Visit("services", T.Services);
  Visit("targets", T.Targets);
  Visit("workspaces", T.Workspaces);
  Visit("keys", T.Keys);
  Visit("weights", T.Weights);
  Visit("shifts", T.Shifts);
}

/// Collects the key fields of a row as "field=value field=value".
struct row_key_visitor {
  std::string Text;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    if (Field.Presence != presence::Key)
      return;
    Text.append(Text.empty() ? "" : " ").append(Field.Name).append("=");
    Text.append(toText(Value));
  }
};

/// Identifies \p R among the rows of its kind.
template <class Row> std::string rowKey(const Row &R) {
  row_key_visitor Visit;
  visitFields(Visit, R);
  return Visit.Text;
}

} // namespace magnoliaspread

#endif
