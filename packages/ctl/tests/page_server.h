/// An HTTP server with fixed pages on a free loopback port.
#ifndef MAGNOLIASPREAD_TESTS_PAGE_SERVER_H
#define MAGNOLIASPREAD_TESTS_PAGE_SERVER_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace magnoliaspread {

class page_server {
public:
  /// Bodies by target; others answer 404. A body of "silent" is never sent.
  explicit page_server(std::map<std::string, std::string> Pages);
  ~page_server();
  page_server(const page_server &) = delete;
  page_server &operator=(const page_server &) = delete;

  /// "127.0.0.1:PORT".
  std::string address() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
