#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

/// Runs all stories of the program, or only the one named by the argument.
int main(int Argc, char **Argv) {
  CppUnit::TextUi::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  const std::string Only = Argc > 1 ? Argv[1] : "";
  return Runner.run(Only, false, true, false) ? 0 : 1;
}
