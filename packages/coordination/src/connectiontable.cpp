#include <magnoliaspread/connectiontable.h>

#include <algorithm>

namespace magnoliaspread {

bool connection_table::opened(connection_id Id, steady_time Now) {
  if (Rows.size() >= Settings.MaxConnections)
    return false;
  Rows.push_back({Id, Now, Now, Now, false, false});
  return true;
}

connection_state *connection_table::find(connection_id Id) {
  const auto Found = std::find_if(
      Rows.begin(), Rows.end(),
      [Id](const connection_state &Connection) { return Connection.Id == Id; });
  return Found == Rows.end() ? nullptr : &*Found;
}

void connection_table::sent(connection_id Id, steady_time Now) {
  connection_state *Connection = find(Id);
  if (Connection == nullptr)
    return;
  Connection->LastSent = Now;
  Connection->Busy = true;
}

void connection_table::received(connection_id Id, steady_time Now) {
  connection_state *Connection = find(Id);
  if (Connection == nullptr)
    return;
  Connection->LastReceived = Now;
  Connection->Suspect = false;
}

void connection_table::becameIdle(connection_id Id, steady_time Now) {
  received(Id, Now);
  if (connection_state *Connection = find(Id))
    Connection->Busy = false;
}

void connection_table::closed(connection_id Id) {
  std::erase_if(Rows, [Id](const connection_state &Connection) {
    return Connection.Id == Id;
  });
}

std::vector<connection_id>
connection_table::becameUnresponsive(connection_id Id) {
  std::vector<connection_id> IdleSuspects;
  const connection_state *Unresponsive = find(Id);
  if (Unresponsive == nullptr)
    return IdleSuspects;
  const steady_time UnresponsiveSince = Unresponsive->LastSent;
  for (connection_state &Connection : Rows) {
    if (Connection.Id == Id || Connection.LastReceived > UnresponsiveSince)
      continue;
    Connection.Suspect = true;
    if (!Connection.Busy)
      IdleSuspects.push_back(Connection.Id);
  }
  return IdleSuspects;
}

reuse_verdict connection_table::checkReuse(const connection_state &Connection,
                                           bool Repeatable,
                                           steady_time Now) const {
  const auto SinceReceived = Now - Connection.LastReceived;
  if (SinceReceived >= Settings.MaxIdle)
    return reuse_verdict::Close;
  const std::chrono::milliseconds Limit =
      Repeatable ? Settings.ProbeAfter : Settings.ProbeAfterIfNotRepeatable;
  if (Connection.Suspect || SinceReceived >= Limit)
    return reuse_verdict::Probe;
  return reuse_verdict::Use;
}

std::optional<connection_choice> connection_table::pick(bool Repeatable,
                                                        steady_time Now) const {
  const connection_state *Best = nullptr;
  for (const connection_state &Connection : Rows) {
    if (Connection.Busy ||
        (Best != nullptr && Connection.Suspect > Best->Suspect))
      continue;
    if (Best == nullptr || Connection.Suspect < Best->Suspect ||
        Connection.LastReceived > Best->LastReceived)
      Best = &Connection;
  }
  if (Best == nullptr)
    return std::nullopt;
  const reuse_verdict Verdict = checkReuse(*Best, Repeatable, Now);
  if (Verdict == reuse_verdict::Close ||
      (Verdict == reuse_verdict::Probe && !Repeatable))
    return std::nullopt;
  return connection_choice{Best->Id, Verdict};
}

std::vector<connection_id> connection_table::expired(steady_time Now) const {
  std::vector<connection_id> Ids;
  for (const connection_state &Connection : Rows)
    if (!Connection.Busy &&
        checkReuse(Connection, true, Now) == reuse_verdict::Close)
      Ids.push_back(Connection.Id);
  return Ids;
}

} // namespace magnoliaspread
