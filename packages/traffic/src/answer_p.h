/// Answers that the fleet itself generates.
#ifndef MAGNOLIASPREAD_ANSWER_P_H
#define MAGNOLIASPREAD_ANSWER_P_H

#include "net_p.h"

#include <magnoliaspread/dedup.h>
#include <magnoliaspread/error.h>

#include <string>
#include <string_view>

namespace magnoliaspread {

using text_response = http::response<http::string_body>;

/// An error answer: kind, run state and retry time, as headers and as JSON.
text_response errorResponse(const error &Error, std::string_view RequestId,
                            bool KeepAlive);

/// The stored answer to a repeated request.
text_response storedResponse(const stored_answer &Answer,
                             std::string_view RequestId, bool KeepAlive);

text_response jsonResponse(std::string Body, bool KeepAlive);

} // namespace magnoliaspread

#endif
