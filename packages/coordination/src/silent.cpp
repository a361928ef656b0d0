#include <magnoliaspread/silent.h>

#include <algorithm>

namespace magnoliaspread {

bool connection_table::opened(connection_id Id, steady_time Now) {
  if (Rows.size() >= Settings.MaxConnections)
    return false;
  Rows.push_back({Id, Now, Now, Now, false, false});
  return true;
}

connection_row *connection_table::find(connection_id Id) {
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(),
                   [Id](const connection_row &Row) { return Row.Id == Id; });
  return Found == Rows.end() ? nullptr : &*Found;
}

void connection_table::sent(connection_id Id, steady_time Now) {
  connection_row *Row = find(Id);
  if (Row == nullptr)
    return;
  Row->LastSent = Now;
  Row->Busy = true;
}

void connection_table::received(connection_id Id, steady_time Now) {
  connection_row *Row = find(Id);
  if (Row == nullptr)
    return;
  Row->LastReceived = Now;
  Row->Suspect = false;
}

void connection_table::becameIdle(connection_id Id, steady_time Now) {
  received(Id, Now);
  if (connection_row *Row = find(Id))
    Row->Busy = false;
}

void connection_table::closed(connection_id Id) {
  std::erase_if(Rows, [Id](const connection_row &Row) { return Row.Id == Id; });
}

std::vector<connection_id> connection_table::fellSilent(connection_id Id) {
  std::vector<connection_id> Doubted;
  const connection_row *Silent = find(Id);
  if (Silent == nullptr)
    return Doubted;
  const steady_time SilentSince = Silent->LastSent;
  for (connection_row &Row : Rows) {
    if (Row.Id == Id || Row.LastReceived > SilentSince)
      continue;
    Row.Suspect = true;
    if (!Row.Busy)
      Doubted.push_back(Row.Id);
  }
  return Doubted;
}

reuse_verdict connection_table::judge(const connection_row &Row,
                                      bool Repeatable, steady_time Now) const {
  const auto Unproved = Now - Row.LastReceived;
  if (Unproved >= Settings.MaxIdle)
    return reuse_verdict::Close;
  const std::chrono::milliseconds Limit =
      Repeatable ? Settings.ProbeAfter : Settings.ProbeAfterForOnce;
  if (Row.Suspect || Unproved >= Limit)
    return reuse_verdict::Probe;
  return reuse_verdict::Use;
}

std::optional<connection_choice> connection_table::pick(bool Repeatable,
                                                        steady_time Now) const {
  const connection_row *Best = nullptr;
  for (const connection_row &Row : Rows) {
    if (Row.Busy || (Best != nullptr && Row.Suspect > Best->Suspect))
      continue;
    if (Best == nullptr || Row.Suspect < Best->Suspect ||
        Row.LastReceived > Best->LastReceived)
      Best = &Row;
  }
  if (Best == nullptr)
    return std::nullopt;
  const reuse_verdict Verdict = judge(*Best, Repeatable, Now);
  if (Verdict == reuse_verdict::Close ||
      (Verdict == reuse_verdict::Probe && !Repeatable))
    return std::nullopt;
  return connection_choice{Best->Id, Verdict};
}

std::vector<connection_id> connection_table::expired(steady_time Now) const {
  std::vector<connection_id> Ids;
  for (const connection_row &Row : Rows)
    if (!Row.Busy && judge(Row, true, Now) == reuse_verdict::Close)
      Ids.push_back(Row.Id);
  return Ids;
}

} // namespace magnoliaspread
