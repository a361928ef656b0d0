#include "codec_p.h"

namespace magnoliaspread {

namespace {

void write(const endpoint_address &From, idl::Address &To) {
  To.ip = From.Address;
  To.port = From.Port;
}

endpoint_address read(const idl::Address &From) {
  return {readName(From.ip), readNumber<std::uint16_t>(From.port)};
}

void write(const config_stamp &From, idl::ConfigStamp &To) {
  To.version = static_cast<std::int64_t>(From.Version);
  To.hash = static_cast<std::int32_t>(From.Hash);
}

config_stamp read(const idl::ConfigStamp &From) {
  return {static_cast<std::uint64_t>(From.version),
          static_cast<std::uint32_t>(From.hash)};
}

void write(const load_summary &From, idl::Load &To) {
  To.freeSlots = static_cast<std::int32_t>(From.FreeSlots);
  To.queueLength = static_cast<std::int32_t>(From.QueueLength);
  To.capacity = static_cast<std::int32_t>(From.Capacity);
  To.rate = static_cast<std::int32_t>(From.Rate);
  if (From.Demand.empty())
    return;
  for (const service_demand &Row : From.Demand) {
    To.demand.push_back(Row.Service);
    To.demand.push_back(static_cast<std::int32_t>(Row.Units));
  }
  To.__isset.demand = true;
}

load_summary read(const idl::Load &From) {
  load_summary To{static_cast<std::uint32_t>(From.freeSlots),
                  static_cast<std::uint32_t>(From.queueLength),
                  static_cast<std::uint32_t>(From.capacity),
                  static_cast<std::uint32_t>(From.rate)};
  if (From.demand.size() % 2 != 0 || From.demand.size() > 2 * MaxDemandServices)
    throw malformed_message("demand of the wrong length");
  for (std::size_t I = 0; I < From.demand.size(); I += 2) {
    if (From.demand[I + 1] < 0)
      throw malformed_message("negative demand");
    To.Demand.push_back({readNumber<std::uint16_t>(From.demand[I]),
                         static_cast<std::uint32_t>(From.demand[I + 1])});
  }
  return To;
}

void write(const member_identity &From, idl::Identity &To) {
  To.name = From.Name;
  To.dataCentre = From.DataCentre;
  To.region = From.Region;
  To.incarnation = static_cast<std::int64_t>(From.Incarnation);
  To.epoch = static_cast<std::int64_t>(From.Epoch);
  write(From.Internal, To.internal);
  write(From.Public, To.publicAddress);
}

member_identity read(const idl::Identity &From) {
  member_identity To;
  To.Name = readName(From.name);
  To.DataCentre = readName(From.dataCentre);
  To.Region = readName(From.region);
  To.Incarnation = static_cast<std::uint64_t>(From.incarnation);
  To.Epoch = static_cast<std::uint64_t>(From.epoch);
  To.Internal = read(From.internal);
  To.Public = read(From.publicAddress);
  if (To.Name.empty() || To.DataCentre.empty() || To.Incarnation == 0)
    throw malformed_message("row without a name or an incarnation");
  return To;
}

void write(const member_report &From, idl::Report &To) {
  To.sequence = static_cast<std::int64_t>(From.Sequence);
  To.state = static_cast<std::int8_t>(From.State);
  write(From.Config, To.config);
  write(From.Load, To.load);
  To.platformReachable = From.PlatformReachable;
}

member_report read(const idl::Report &From) {
  if (From.state < 0 ||
      From.state > static_cast<std::int8_t>(member_state::Dead))
    throw malformed_message("unknown state of a member");
  member_report To;
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  To.State = static_cast<member_state>(From.state);
  To.Config = read(From.config);
  To.Load = read(From.load);
  To.PlatformReachable = From.platformReachable;
  return To;
}

void write(const member_row &From, idl::Row &To) {
  write(From.Identity, To.identity);
  write(From.Report, To.report);
}

member_row read(const idl::Row &From) {
  return {read(From.identity), read(From.report)};
}

void write(const data_centre_summary &From, std::uint64_t Sender,
           idl::Summary &To) {
  To.dataCentre = From.DataCentre;
  To.rowsHash = static_cast<std::int64_t>(From.RowsHash);
  if (From.Speaker != Sender)
    To.__set_speaker(static_cast<std::int64_t>(From.Speaker));
  To.sequence = static_cast<std::int64_t>(From.Sequence);
  To.lowestVersion = static_cast<std::int64_t>(From.LowestVersion);
  write(From.Config, To.config);
  To.alive = static_cast<std::int32_t>(From.Alive);
  write(From.Load, To.load);
  To.platformReachable = From.PlatformReachable;
}

data_centre_summary read(const idl::Summary &From, std::uint64_t Sender) {
  data_centre_summary To;
  To.DataCentre = readName(From.dataCentre);
  To.RowsHash = static_cast<std::uint64_t>(From.rowsHash);
  To.Speaker =
      From.__isset.speaker ? static_cast<std::uint64_t>(From.speaker) : Sender;
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  To.LowestVersion = static_cast<std::uint64_t>(From.lowestVersion);
  To.Config = read(From.config);
  To.Alive = static_cast<std::uint32_t>(From.alive);
  To.Load = read(From.load);
  To.PlatformReachable = From.platformReachable;
  return To;
}

void writeAll(const std::vector<member_row> &Items,
              std::vector<idl::Row> &Out) {
  Out.resize(Items.size());
  for (std::size_t I = 0; I < Items.size(); ++I)
    write(Items[I], Out[I]);
}

std::vector<member_row> readAll(const std::vector<idl::Row> &Items) {
  std::vector<member_row> Rows;
  Rows.reserve(Items.size());
  for (const idl::Row &Item : Items)
    Rows.push_back(read(Item));
  return Rows;
}

void writeMessage(const heartbeat_message &Message, std::uint64_t Sender,
                  idl::Datagram &Body) {
  idl::Heartbeat To;
  if (Message.Incarnation != Sender)
    To.__set_incarnation(static_cast<std::int64_t>(Message.Incarnation));
  write(Message.Report, To.report);
  if (Message.Speaker)
    To.__set_speaker(true);
  if (!Message.Summaries.empty()) {
    To.summaries.resize(Message.Summaries.size());
    for (std::size_t I = 0; I < Message.Summaries.size(); ++I)
      write(Message.Summaries[I], Sender, To.summaries[I]);
    To.__isset.summaries = true;
  }
  if (!Message.SilentCentres.empty())
    To.__set_silentCentres(Message.SilentCentres);
  Body.__set_heartbeat(To);
}

void writeMessage(const summary_message &Message, std::uint64_t Sender,
                  idl::Datagram &Body) {
  idl::SummaryNews To;
  write(Message.Summary, Sender, To.summary);
  writeAll(Message.Changed, To.changed);
  Body.__set_summary(To);
}

void writeMessage(const rows_message &Message, std::uint64_t /*Sender*/,
                  idl::Datagram &Body) {
  idl::Rows To;
  writeAll(Message.Rows, To.rows);
  To.relayed = Message.Relayed;
  Body.__set_rows(To);
}

void writeMessage(const rows_request &Message, std::uint64_t /*Sender*/,
                  idl::Datagram &Body) {
  idl::RowsRequest To;
  write(Message.Sender, To.sender);
  To.dataCentre = Message.DataCentre;
  Body.__set_rowsRequest(To);
}

} // namespace

std::string readName(const std::string &From) {
  if (From.size() > MaxNameBytes)
    throw malformed_message("name too long");
  return From;
}

void writeMember(const member_message &Message, std::uint64_t Sender,
                 idl::Datagram &Body) {
  std::visit(
      [&](const auto &Alternative) { writeMessage(Alternative, Sender, Body); },
      Message);
}

heartbeat_message readHeartbeat(const idl::Heartbeat &From,
                                std::uint64_t Sender) {
  heartbeat_message To;
  To.Incarnation = From.__isset.incarnation
                       ? static_cast<std::uint64_t>(From.incarnation)
                       : Sender;
  To.Report = read(From.report);
  To.Speaker = From.__isset.speaker && From.speaker;
  for (const idl::Summary &Summary : From.summaries)
    To.Summaries.push_back(read(Summary, Sender));
  for (const std::string &Name : From.silentCentres)
    To.SilentCentres.push_back(readName(Name));
  return To;
}

summary_message readSummary(const idl::SummaryNews &From,
                            std::uint64_t Sender) {
  return {read(From.summary, Sender), readAll(From.changed)};
}

rows_message readRows(const idl::Rows &From) {
  return {readAll(From.rows), From.relayed};
}

rows_request readRowsRequest(const idl::RowsRequest &From) {
  return {read(From.sender), readName(From.dataCentre)};
}

} // namespace magnoliaspread
