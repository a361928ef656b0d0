/// Checks of messages for people.
#ifndef MAGNOLIASPREAD_TESTS_PIECES_H
#define MAGNOLIASPREAD_TESTS_PIECES_H

#include <cppunit/TestAssert.h>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Asserts that \p Text holds every one of \p Pieces.
inline void expectPieces(const std::string &Text,
                         const std::vector<std::string> &Pieces) {
  for (const std::string &Piece : Pieces) {
    std::string Message = "in \"";
    Message.append(Text).append("\" there is no ").append(Piece);
    CPPUNIT_ASSERT_MESSAGE(Message, Text.find(Piece) != Text.npos);
  }
}

} // namespace magnoliaspread

#endif
