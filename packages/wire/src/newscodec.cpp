#include "codec_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

void writeNews(const object_news &News, idl::Datagram &Body) {
  idl::ObjectNews To;
  for (const object_row &Row : News.Rows) {
    idl::ObjectRow Written;
    Written.object = static_cast<std::int64_t>(Row.Object);
    Written.target = static_cast<std::int64_t>(Row.Target);
    Written.warm = Row.Warm;
    To.rows.push_back(Written);
  }
  Body.__set_objectNews(To);
}

void writeProof(const proof_ask &Ask, idl::Datagram &Body) {
  idl::ProofAsk To;
  To.askedAtNs = Ask.AskedAt.time_since_epoch().count();
  Body.__set_proofAsk(To);
}

void writeProof(const proof_reply &Reply, idl::Datagram &Body) {
  idl::ProofReply To;
  To.askedAtNs = Reply.AskedAt.time_since_epoch().count();
  To.version = static_cast<std::int64_t>(Reply.Version);
  To.ageMs = Reply.Age.count();
  Body.__set_proofReply(To);
}

object_news readNews(const idl::ObjectNews &From) {
  object_news News;
  for (const idl::ObjectRow &Row : From.rows)
    News.Rows.push_back({static_cast<std::uint64_t>(Row.object),
                         static_cast<std::uint64_t>(Row.target), Row.warm});
  return News;
}

proof_ask readProofAsk(const idl::ProofAsk &From) {
  return {boot_time(nanoseconds(From.askedAtNs))};
}

proof_reply readProofReply(const idl::ProofReply &From) {
  if (From.ageMs < 0)
    throw malformed_message("a proof of the future");
  return {boot_time(nanoseconds(From.askedAtNs)),
          static_cast<std::uint64_t>(From.version), milliseconds(From.ageMs)};
}

} // namespace magnoliaspread
