#include "codec_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

void writeObjectUpdate(const object_update &Update, idl::Datagram &Body) {
  idl::ObjectNews To;
  for (const object_row &Row : Update.Rows) {
    idl::ObjectRow Out;
    Out.object = static_cast<std::int64_t>(Row.Object);
    Out.target = static_cast<std::int64_t>(Row.Target);
    Out.warm = Row.Warm;
    if (Row.DemandMs > 0)
      Out.__set_demandMs(static_cast<std::int32_t>(Row.DemandMs));
    if (Row.Released)
      Out.__set_released(true);
    To.rows.push_back(Out);
  }
  for (const load_row &Row : Update.Loads) {
    idl::LoadRow Out;
    Out.target = static_cast<std::int64_t>(Row.Target);
    Out.busy = static_cast<std::int32_t>(Row.Busy);
    if (Row.PacePercent > 0)
      Out.__set_pacePercent(static_cast<std::int32_t>(Row.PacePercent));
    To.loads.push_back(Out);
  }
  Body.__set_objectNews(To);
}

namespace {

idl::TargetChange toWire(const target_change &Change) {
  const target_record &Record = Change.Record;
  idl::TargetChange To;
  To.name = Record.Name;
  To.address = Record.Address.Address;
  To.port = Record.Address.Port;
  To.serviceName = Record.Service;
  To.dataCentre = Record.DataCentre;
  To.slots = static_cast<std::int32_t>(Record.Slots);
  To.draining = Record.Draining;
  To.coldLeftMs = static_cast<std::int32_t>(Record.ColdLeft.count());
  To.sequence = static_cast<std::int64_t>(Record.Sequence);
  To.startedAtMs = Record.StartedAtMs;
  To.removed = Change.Removed;
  To.revision = static_cast<std::int64_t>(Change.Revision);
  return To;
}

target_change fromWire(const idl::TargetChange &From) {
  target_change Change;
  target_record &Record = Change.Record;
  Record.Name = readName(From.name);
  Record.Address = {readName(From.address),
                    readNumber<std::uint16_t>(From.port)};
  Record.Service = readName(From.serviceName);
  Record.DataCentre = readName(From.dataCentre);
  Record.Slots = readNumber<std::uint32_t>(From.slots);
  Record.Draining = From.draining;
  Record.ColdLeft = milliseconds(readNumber<std::uint32_t>(From.coldLeftMs));
  Record.Sequence = static_cast<std::uint64_t>(From.sequence);
  Record.StartedAtMs = From.startedAtMs;
  Change.Removed = From.removed;
  Change.Revision = static_cast<std::uint64_t>(From.revision);
  return Change;
}

milliseconds readAge(std::int64_t From) {
  if (From < 0)
    throw malformed_message("negative age");
  return milliseconds(From);
}

} // namespace

void writeView(const view_request &Request, idl::Datagram &Body) {
  idl::ViewAsk To;
  To.askedAtNs = Request.AskedAt.time_since_epoch().count();
  To.revision = static_cast<std::int64_t>(Request.Revision);
  To.skip = static_cast<std::int32_t>(Request.Skip);
  To.era = static_cast<std::int64_t>(Request.Era);
  Body.__set_viewAsk(To);
}

void writeView(const view_reply &Reply, idl::Datagram &Body) {
  idl::ViewReply To;
  To.askedAtNs = Reply.AskedAt.time_since_epoch().count();
  To.version = static_cast<std::int64_t>(Reply.Version);
  To.ageMs = Reply.Age.count();
  To.revision = static_cast<std::int64_t>(Reply.Revision);
  To.targetsAgeMs = Reply.TargetsAge.count();
  for (const target_change &Change : Reply.Changes)
    To.changes.push_back(toWire(Change));
  To.skip = static_cast<std::int32_t>(Reply.Skip);
  To.more = Reply.More;
  To.follows = Reply.Follows;
  To.partial = Reply.ChangesUnknown;
  To.evacuated = Reply.Evacuated;
  To.evacuatedAgeMs = Reply.EvacuatedAge.count();
  To.era = static_cast<std::int64_t>(Reply.Era);
  To.targetsEra = static_cast<std::int64_t>(Reply.TargetsEra);
  To.routesEra = static_cast<std::int64_t>(Reply.RoutesEra);
  To.evacuatedEra = static_cast<std::int64_t>(Reply.EvacuatedEra);
  To.rosterHash = static_cast<std::int64_t>(Reply.RosterHash);
  To.rosterAgeMs = Reply.RosterAge.count();
  To.rosterEra = static_cast<std::int64_t>(Reply.RosterEra);
  Body.__set_viewReply(To);
}

object_update readObjectUpdate(const idl::ObjectNews &From) {
  object_update Update;
  for (const idl::ObjectRow &Row : From.rows)
    Update.Rows.push_back({static_cast<std::uint64_t>(Row.object),
                           static_cast<std::uint64_t>(Row.target), Row.warm,
                           readNumber<std::uint32_t>(Row.demandMs),
                           Row.released});
  for (const idl::LoadRow &Row : From.loads)
    Update.Loads.push_back({static_cast<std::uint64_t>(Row.target),
                            readNumber<std::uint32_t>(Row.busy),
                            Row.__isset.pacePercent
                                ? readNumber<std::uint32_t>(Row.pacePercent)
                                : 0U});
  return Update;
}

view_request readViewRequest(const idl::ViewAsk &From) {
  return {boot_time(nanoseconds(From.askedAtNs)),
          static_cast<std::uint64_t>(From.revision),
          readNumber<std::uint32_t>(From.skip),
          static_cast<store_era>(From.era)};
}

view_reply readViewReply(const idl::ViewReply &From) {
  view_reply Reply;
  Reply.AskedAt = boot_time(nanoseconds(From.askedAtNs));
  Reply.Version = static_cast<std::uint64_t>(From.version);
  Reply.Age = readAge(From.ageMs);
  Reply.Revision = static_cast<std::uint64_t>(From.revision);
  Reply.TargetsAge = readAge(From.targetsAgeMs);
  for (const idl::TargetChange &Change : From.changes)
    Reply.Changes.push_back(fromWire(Change));
  Reply.Skip = readNumber<std::uint32_t>(From.skip);
  Reply.More = From.more;
  Reply.Follows = From.follows;
  Reply.ChangesUnknown = From.partial;
  Reply.EvacuatedAge = readAge(From.evacuatedAgeMs);
  Reply.Era = static_cast<store_era>(From.era);
  Reply.TargetsEra = static_cast<store_era>(From.targetsEra);
  Reply.RoutesEra = static_cast<store_era>(From.routesEra);
  Reply.EvacuatedEra = static_cast<store_era>(From.evacuatedEra);
  Reply.RosterHash = static_cast<std::uint64_t>(From.rosterHash);
  Reply.RosterAge = readAge(From.rosterAgeMs);
  Reply.RosterEra = static_cast<store_era>(From.rosterEra);
  for (const std::string &Name : From.evacuated)
    Reply.Evacuated.push_back(readName(Name));
  return Reply;
}

} // namespace magnoliaspread
