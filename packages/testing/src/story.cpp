#include <magnoliaspread/story.h>

#include <cppunit/Exception.h>

namespace magnoliaspread {

void story::section(std::string_view Title, const std::function<void()> &Body) {
  Path.emplace_back(Title);
  try {
    Body();
  } catch (CppUnit::Exception &Failure) {
    CppUnit::Message Message = Failure.message();
    Message.addDetail("in section: " + Path.back());
    Path.pop_back();
    throw CppUnit::Exception(Message, Failure.sourceLine());
  }
  Path.pop_back();
}

} // namespace magnoliaspread
