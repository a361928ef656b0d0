/// CppUnit tests structured as nested sections.
#ifndef MAGNOLIASPREAD_STORY_H
#define MAGNOLIASPREAD_STORY_H

#include <cppunit/TestCase.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// A CppUnit test case whose failures name the path of sections they
/// occurred in.
class story : public CppUnit::TestCase {
public:
  explicit story(const std::string &Name) : CppUnit::TestCase(Name) {}

  /// Runs \p Body immediately; sections may be nested.
  void section(std::string_view Title, const std::function<void()> &Body);

private:
  std::vector<std::string> Path;
};

} // namespace magnoliaspread

/// Defines and registers a story; its body follows the macro.
#define STORY(Name)                                                            \
  namespace {                                                                  \
  class story_##Name final : public magnoliaspread::story {                    \
  public:                                                                      \
    story_##Name() : story(#Name) {}                                           \
    void runTest() override;                                                   \
  };                                                                           \
  CppUnit::AutoRegisterSuite<magnoliaspread::single_story_suite<story_##Name>> \
      Register_##Name;                                                         \
  }                                                                            \
  void story_##Name::runTest()

namespace magnoliaspread {

/// Adapter for CppUnit's suite registry.
template <class Story> class single_story_suite {
public:
  static CppUnit::Test *suite() { return new Story; }
};

} // namespace magnoliaspread

#endif
