#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

/// Runs the program's stories; the optional argument names a single one.
int main(int Argc, char **Argv) {
  CppUnit::TextUi::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  const std::string Only = Argc > 1 ? Argv[1] : "";
  return Runner.run(Only, false, true, false) ? 0 : 1;
}
