/// What the two paths to a target make of its answers: the gate's, which
/// gathers them and serves peers as well, and the relay of the project's own
/// interface.
#include "exchangefixture.h"
#include "relay_p.h"
#include "target_call_p.h"

#include <magnoliaspread/story.h>

#include <boost/asio/read.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// The answer as it came through.
struct passed_answer {
  bool Whole = false;
  /// Its caller can tell that the end is missing.
  bool Cut = false;
  unsigned Status = 0;
  std::string Body;
  std::string Detail;
};

/// One exchange with a target that the test plays.
class exchange_fixture {
public:
  virtual ~exchange_fixture() = default;

  passed_answer exchange(http::verb Method, const std::string &Answer,
                         answer_end End) {
    start(Method);
    const auto Until = std::chrono::steady_clock::now() + 2s;
    while (Target.Far.available() == 0 &&
           std::chrono::steady_clock::now() < Until)
      Context.poll();
    Target.send(Answer, End);
    while (!Ended && std::chrono::steady_clock::now() < Until)
      Context.run_one_for(10ms);
    CPPUNIT_ASSERT_MESSAGE(Answer, Ended);
    return passed();
  }

protected:
  virtual void start(http::verb Method) = 0;
  virtual passed_answer passed() = 0;

  template <class Awaitable, class Result>
  void run(Awaitable Exchange, std::optional<Result> &Into) {
    asio::co_spawn(Context, std::move(Exchange),
                   [this, &Into](const std::exception_ptr &Thrown, Result End) {
                     CPPUNIT_ASSERT(!Thrown);
                     Into.emplace(std::move(End));
                     Ended = true;
                   });
  }

  asio::io_context Context{1};
  connection_fixture Target{Context};
  outbound_connection Outbound{1, std::move(Target.Near)};
  bool Ended = false;
};

class gate_exchange final : public exchange_fixture {
  void start(http::verb Method) override {
    Request = whole_request(Method, "/1", 11);
    Request.set(http::field::host, Host);
    Request.prepare_payload();
    target_call Call;
    Call.Request = &Request;
    Call.Id = "id-1";
    Call.Deadline = std::chrono::steady_clock::now() + 1s;
    Call.Memory = &Memory;
    run(callTarget(Dialect, Caller, Outbound, Call), Result);
  }

  passed_answer passed() override {
    passed_answer Passed;
    Passed.Whole = Result->End == call_end::Answered;
    Passed.Status = Result->Answer.result_int();
    Passed.Body = Result->Answer.body();
    Passed.Detail = Result->Detail;
    return Passed;
  }

  trusting_dialect Dialect;
  caller_watch Caller;
  memory_budget Memory{1 << 20};
  whole_request Request;
  std::optional<call_result> Result;
};

class relay_exchange final : public exchange_fixture {
public:
  error_kind errorKind() const { return Result->Error.Kind; }

private:
  void start(http::verb Method) override {
    const std::string Head = std::string(http::to_string(Method)) +
                             " /1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    asio::write(Caller.Far, asio::buffer(Head));
    http::read_header(Caller.Near, Buffer, Parser);
    relay_request Request;
    Request.Head = Parser.get().base();
    Request.Id = "id-1";
    Request.Deadline = std::chrono::steady_clock::now() + 1s;
    Request.ProgressTimeout = 1s;
    run(relayExchange(Side, Outbound, std::move(Request)), Result);
  }

  passed_answer passed() override {
    passed_answer Passed;
    Passed.Whole = Result->Answered;
    Passed.Status = Result->Answered ? Result->Status : 0;
    Passed.Detail = Result->Error.Detail;
    std::string Text(Caller.Far.available(), ' ');
    asio::read(Caller.Far, asio::buffer(Text));
    const std::size_t Body = Text.find("\r\n\r\n");
    if (Body != std::string::npos)
      Passed.Body = Text.substr(Body + 4);
    Passed.Cut = !Result->Answered && !Text.ends_with("\r\n0\r\n\r\n");
    return Passed;
  }

  connection_fixture Caller{Context};
  beast::flat_buffer Buffer;
  caller_parser Parser;
  caller_side Side{Caller.Near, Buffer, Parser};
  std::optional<relay_outcome> Result;
};

struct broken_answer {
  const char *What;
  std::string Text;
  answer_end End = answer_end::Keep;
};

std::vector<broken_answer> brokenAnswers() {
  const std::string Rest = " Reason\r\nContent-Length: 5\r\n\r\nwhole";
  std::string Interim;
  for (int I = 0; I < 1000; ++I)
    Interim += "HTTP/1.1 103 Hints\r\n\r\n";
  return {
      {"status 000", "HTTP/1.1 000" + Rest},
      {"status 099", "HTTP/1.1 099" + Rest},
      {"status 600", "HTTP/1.1 600" + Rest},
      {"status 999", "HTTP/1.1 999" + Rest},
      {"status 099 before a sound answer",
       "HTTP/1.1 099 Reason\r\n\r\nHTTP/1.1 200" + Rest},
      {"a status of two digits", "HTTP/1.1 20" + Rest},
      {"a status of four digits", "HTTP/1.1 2000" + Rest},
      {"a version of another protocol", "HTTP/2.0 200" + Rest},
      {"chunks of HTTP/1.0",
       "HTTP/1.0 200 Reason\r\nTransfer-Encoding: chunked\r\n\r\n"
       "5\r\nwhole\r\n0\r\n\r\n"},
      {"chunks of HTTP/1.0, kept open",
       "HTTP/1.0 200 Reason\r\nConnection: keep-alive\r\n"
       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
      {"101 and the end", "HTTP/1.1 101 Switching\r\n\r\n", answer_end::Close},
      {"1,000 interim answers before it", Interim + "HTTP/1.1 200" + Rest},
  };
}

/// Answers whose body has a coding that isn't decoded on the way.
std::vector<broken_answer> codedAnswers() {
  const std::string Chunks = "5\r\nwhole\r\n0\r\n\r\n";
  std::vector<broken_answer> Answers;
  const auto Add = [&](const char *What, const std::string &Fields) {
    for (const answer_end End : {answer_end::Keep, answer_end::Close}) {
      Answers.push_back({What, "HTTP/1.1 200 Reason\r\n", End});
      Answers.back().Text.append(Fields).append("\r\n").append(Chunks);
    }
  };
  Add("gzip", "Transfer-Encoding: gzip\r\n");
  Add("chunked, gzip", "Transfer-Encoding: chunked, gzip\r\n");
  Add("gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n");
  Add("gzip and chunked in two fields",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
  Add("chunked and gzip in two fields",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n");
  Add("chunked twice", "Transfer-Encoding: chunked, chunked\r\n");
  Add("chunked in two fields",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n");
  Add("chunked, identity", "Transfer-Encoding: chunked, identity\r\n");
  Add("chunked with a parameter", "Transfer-Encoding: chunked;a=b\r\n");
  Add("gzip with a length",
      "Transfer-Encoding: gzip\r\nContent-Length: 15\r\n");
  Add("a length with gzip",
      "Content-Length: 15\r\nTransfer-Encoding: gzip\r\n");
  return Answers;
}

/// Lines in whose field name or value a byte stands that HTTP doesn't allow.
std::vector<std::pair<const char *, std::string>> brokenLines() {
  using namespace std::string_literals;
  return {
      {"a blank in the name", "X-A B: 1"},
      {"a blank before the colon", "X-A : 1"},
      {"a blank before the first name", " X-A: 1"},
      {"a blank in the name of the length", "Content -Length: 5"},
      {"a blank behind the name of the length", "Content-Length : 5"},
      {"a blank behind the name of the coding", "Transfer-Encoding : chunked"},
      {"a tab in the name", "X-A\tB: 1"},
      {"NUL in the name", "X-A\0B: 1"s},
      {"0x01 in the name", "X-A\x01: 1"},
      {"0x7f in the name", "X-A\x7f: 1"},
      {"0xe9 in the name", "X-A\xe9: 1"},
      {"0xff in the name", "X-A\xff: 1"},
      {"a bare CR in the name", "X-A\rB: 1"},
      {"a bare LF in the name", "X-A\nB: 1"},
      {"no name", ": 1"},
      {"no colon", "X-A"},
      {"0x01 in the value", "X-A: 1\x01"},
      {"NUL in the value", "X-A: 1\0"s},
      {"a bare CR in the value", "X-A: 1\rX-B: 2"},
      {"a bare LF in the value", "X-A: 1\nX-B: 2"},
      {"0x01 in a folded line", "X-A: 1\r\n \x01"},
  };
}

/// Answers with such a line in the head and in an interim head.
std::vector<broken_answer> answersWithBrokenLines() {
  const std::string Rest = "\r\nContent-Length: 5\r\n\r\nwhole";
  const std::string Final = "\r\n\r\nHTTP/1.1 200 Reason" + Rest;
  std::vector<broken_answer> Answers;
  for (const auto &[What, Line] : brokenLines()) {
    Answers.push_back({What, "HTTP/1.1 200 Reason\r\n"});
    Answers.back().Text.append(Line).append(Rest);
    Answers.push_back({What, "HTTP/1.1 103 Hints\r\n"});
    Answers.back().Text.append(Line).append(Final);
  }
  return Answers;
}

std::vector<broken_answer> answersWithBrokenTrailers() {
  std::vector<broken_answer> Answers;
  for (const auto &[What, Line] : brokenLines())
    Answers.push_back({What, "HTTP/1.1 200 Reason\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n5\r\nwhole\r\n0\r\n" +
                                 Line + "\r\n\r\n"});
  return Answers;
}

/// The broken answers that came through. One that \p MayBegin may be cut.
template <class Exchange>
std::string passedOn(const std::vector<broken_answer> &Answers,
                     bool MayBegin = false) {
  std::string Names;
  for (const broken_answer &Broken : Answers) {
    const passed_answer Passed =
        Exchange().exchange(http::verb::get, Broken.Text, Broken.End);
    if (Passed.Whole || (!Passed.Body.empty() && !(MayBegin && Passed.Cut)))
      Names += std::string("\n  ") + Broken.What;
  }
  return Names;
}

} // namespace

namespace {

struct sound_answer {
  const char *What;
  std::string Text;
  unsigned Status = 200;
  std::string Body = "whole";
  http::verb Method = http::verb::get;
  answer_end End = answer_end::Keep;
};

std::vector<sound_answer> soundAnswers() {
  const std::string Rest = " Reason\r\nContent-Length: 5\r\n\r\nwhole";
  return {
      {"with a length", "HTTP/1.1 200" + Rest},
      {"with a length of HTTP/1.0", "HTTP/1.0 200" + Rest},
      {"with a length, then a close", "HTTP/1.1 200" + Rest, 200, "whole",
       http::verb::get, answer_end::Close},
      {"without a name for its status", "HTTP/1.1 299" + Rest, 299},
      {"a failure without a name", "HTTP/1.1 599" + Rest, 599},
      {"after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200" + Rest},
      {"after two of 103", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
                           "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200" +
                               Rest},
      {"204", "HTTP/1.1 204 Reason\r\n\r\n", 204, ""},
      {"304 with the length that a 200 would have",
       "HTTP/1.1 304 Reason\r\nContent-Length: 5\r\n\r\n", 304, ""},
      {"204 with a coding",
       "HTTP/1.1 204 Reason\r\nTransfer-Encoding: chunked\r\n\r\n", 204, ""},
      {"304 with the coding that a 200 would have",
       "HTTP/1.1 304 Reason\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 304,
       ""},
      {"to HEAD, with the coding that GET would get",
       "HTTP/1.1 200 Reason\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 200,
       "", http::verb::head},
      {"to HEAD", "HTTP/1.1 200 Reason\r\nContent-Length: 5\r\n\r\n", 200, "",
       http::verb::head},
  };
}

/// The sound answers that didn't come through whole.
template <class Exchange>
std::string refused(const std::vector<sound_answer> &Answers) {
  std::string Names;
  for (const sound_answer &Sound : Answers) {
    const passed_answer Passed =
        Exchange().exchange(Sound.Method, Sound.Text, Sound.End);
    if (!Passed.Whole || Passed.Status != Sound.Status ||
        Passed.Body != Sound.Body)
      Names += std::string("\n  ") + Sound.What + ": " + Passed.Detail;
  }
  return Names;
}

} // namespace

// Guards against answers that HTTP doesn't allow and that reach the caller.
STORY(broken_answers_are_not_passed_on_by_the_gate) {
  CPPUNIT_ASSERT_EQUAL(std::string(), passedOn<gate_exchange>(brokenAnswers()));
}

STORY(broken_answers_are_not_passed_on_by_the_relay) {
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       passedOn<relay_exchange>(brokenAnswers()));
}

// Guards against an answer that names two requests; the gate's dialect reads
// the ids there.
STORY(answers_of_two_requests_are_not_relayed) {
  const std::string Own = "X-Request-Id: id-1\r\n";
  const std::string Other = "X-Request-Id: id-2\r\n";
  const auto Relay = [](const std::string &Ids) {
    return relay_exchange().exchange(http::verb::get,
                                     "HTTP/1.1 200 OK\r\n" + Ids +
                                         "Content-Length: 5\r\n\r\nwhole",
                                     answer_end::Keep);
  };
  CPPUNIT_ASSERT(Relay(Own).Whole);
  CPPUNIT_ASSERT(Relay(Own + Own).Whole);
  for (const std::string &Ids : {Other, Own + Other, Other + Own})
    CPPUNIT_ASSERT_MESSAGE(Ids, !Relay(Ids).Whole);
}

// Guards against an earlier refusal, sent once more on a kept connection, that
// is taken for one of the next request.
STORY(refusals_of_other_requests_are_not_relayed) {
  const auto KindOf = [](const std::string &Id) {
    relay_exchange Exchange;
    Exchange.exchange(http::verb::get,
                      "HTTP/1.1 503 Full\r\nX-Run-State: not_run\r\n"
                      "X-Request-Id: " +
                          Id + "\r\nContent-Length: 0\r\n\r\n",
                      answer_end::Keep);
    return Exchange.errorKind();
  };
  CPPUNIT_ASSERT(KindOf("id-1") == error_kind::TargetShed);
  CPPUNIT_ASSERT(KindOf("id-2") == error_kind::TargetFailed);
}

// Guards against bodies in a coding that reach callers without its name.
STORY(coded_answers_are_not_passed_on) {
  section("by the gate", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         passedOn<gate_exchange>(codedAnswers()));
  });
  section("by the relay", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         passedOn<relay_exchange>(codedAnswers()));
  });
}

// Guards against answers with a field whose name or value is malformed.
STORY(malformed_fields_are_not_passed_on) {
  section("by the gate, in heads", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         passedOn<gate_exchange>(answersWithBrokenLines()));
  });
  section("by the gate, in trailers", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         passedOn<gate_exchange>(answersWithBrokenTrailers()));
  });
  section("by the relay, in heads", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         passedOn<relay_exchange>(answersWithBrokenLines()));
  });
  section("by the relay, in trailers, before which the answer begins", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string(), passedOn<relay_exchange>(
                                            answersWithBrokenTrailers(), true));
  });
}

// Guards against checks that reject what HTTP allows.
STORY(sound_answers_pass_whole_through_the_gate) {
  CPPUNIT_ASSERT_EQUAL(std::string(), refused<gate_exchange>(soundAnswers()));
  section("chunked, or without a length and ended in order", [&] {
    const std::string Head = "HTTP/1.1 200 Reason\r\n";
    const std::vector<sound_answer> Unframed{
        {"chunked",
         Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
        {"Chunked, with an empty element",
         Head + "Transfer-Encoding: ,Chunked\r\n\r\n"
                "5;a=b\r\nwhole\r\n0\r\nX-A: 1\r\n\r\n"},
        {"without a length", Head + "\r\nwhole", 200, "whole", http::verb::get,
         answer_end::Close}};
    CPPUNIT_ASSERT_EQUAL(std::string(), refused<gate_exchange>(Unframed));
  });
}

STORY(sound_answers_pass_whole_through_the_relay) {
  CPPUNIT_ASSERT_EQUAL(std::string(), refused<relay_exchange>(soundAnswers()));
}
