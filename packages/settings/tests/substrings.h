/// Checks the texts of messages.
#ifndef MAGNOLIASPREAD_TESTS_SUBSTRINGS_H
#define MAGNOLIASPREAD_TESTS_SUBSTRINGS_H

#include <cppunit/TestAssert.h>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Asserts that \p Text contains every one of \p Substrings.
inline void expectSubstrings(const std::string &Text,
                             const std::vector<std::string> &Substrings) {
  for (const std::string &Substring : Substrings) {
    std::string Message = "in \"";
    Message.append(Text).append("\" there is no ").append(Substring);
    CPPUNIT_ASSERT_MESSAGE(Message, Text.find(Substring) != Text.npos);
  }
}

} // namespace magnoliaspread

#endif
