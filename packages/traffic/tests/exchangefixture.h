/// What tests of exchanges with targets share.
#ifndef MAGNOLIASPREAD_EXCHANGEFIXTURE_H
#define MAGNOLIASPREAD_EXCHANGEFIXTURE_H

#include "net_p.h"

#include <magnoliaspread/gate_dialect.h>

#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

inline constexpr const char *Host = "127.0.0.1";

/// Takes every answer for one to the request, signed by its target.
class trusting_dialect final : public gate_dialect {
public:
  caller_head read(const gate_request_head &) const override { return {}; }
  void rewriteRequest(gate_request_head &, const target_head &) const override {
  }
  void eraseHopByHop(gate_request_head &) const override {}
  answer_head parseAnswerHead(const gate_answer_head &,
                              std::string_view) const override {
    answer_head Read;
    Read.Named = true;
    Read.Signed = true;
    return Read;
  }
  void rewriteAnswer(gate_answer_head &) const override {}
  void refuse(gate_answer_head &, const error &,
              std::string_view) const override {}
  std::optional<directory_query>
  readDirectory(std::string_view) const override {
    return std::nullopt;
  }
  std::string directoryAnswer(const std::vector<std::string> &,
                              std::chrono::milliseconds) const override {
    return {};
  }
  bool isReadinessProbe(std::string_view) const override { return false; }
};

enum class answer_end { Keep, Close, Reset, CloseAndReset };

/// A connected pair of sockets, one of which the test holds.
struct connection_fixture {
  explicit connection_fixture(asio::io_context &Context) : Near(Context) {
    Near.connect(Acceptor.local_endpoint());
    Acceptor.accept(Far);
    Near.set_option(tcp::no_delay(true));
    Far.set_option(tcp::no_delay(true));
  }

  void send(const std::string &Text, answer_end End) {
    asio::write(Far, asio::buffer(Text));
    end(End);
  }

  void end(answer_end End) {
    if (End == answer_end::Close || End == answer_end::CloseAndReset)
      Far.shutdown(tcp::socket::shutdown_send);
    if (End == answer_end::Reset || End == answer_end::CloseAndReset) {
      Far.set_option(asio::socket_base::linger(true, 0));
      Far.close();
    }
  }

  asio::io_context FarContext;
  tcp::acceptor Acceptor{FarContext, {asio::ip::make_address(Host), 0}};
  tcp::socket Far{FarContext};
  tcp::socket Near;
};

} // namespace magnoliaspread

#endif
