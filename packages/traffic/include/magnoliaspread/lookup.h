/// Answers to callers that ask which instances to use. Pure.
#ifndef MAGNOLIASPREAD_LOOKUP_H
#define MAGNOLIASPREAD_LOOKUP_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/view.h>

#include <chrono>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// Path of the look-up on the public port; no service may use it.
inline constexpr std::string_view LookupPath = "/v1/lookup";

struct lookup_query {
  std::string Service;
  std::string Client;
};

/// Reads the query of a look-up, such as "/v1/lookup?service=calendar".
result<lookup_query> parseLookup(std::string_view Target);

/// JSON: instances in order of preference, how long to cache the answer, and a
/// ticket of the answering instance for at-most-once requests.
result<std::string> answerLookup(const traffic_view &View,
                                 const lookup_query &Query,
                                 std::chrono::milliseconds TimeToLive,
                                 std::string_view Ticket);

} // namespace magnoliaspread

#endif
