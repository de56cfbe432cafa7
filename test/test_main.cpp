/// Test runner: `pollenloft-test [SUITE...]` runs the suites whose names
/// contain an argument, or all. The last line counts passed and failed cases.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace {

auto is_selected(const std::string& suite, int argc, char** argv) -> bool {
  if (argc < 2) return true;
  for (int i = 1; i < argc; ++i)
    if (suite.find(argv[i]) != std::string::npos) return true;
  return false;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  CppUnit::TestResult events;
  CppUnit::TestResultCollector results;
  events.addListener(&results);
  CppUnit::TestRunner runner;
  auto* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  for (int i = 0; i < all->getChildTestCount(); ++i) {
    auto* suite = all->getChildTestAt(i);
    if (!is_selected(suite->getName(), argc, argv)) continue;
    std::cout << suite->getName() << ": " << suite->countTestCases()
              << " cases\n";
    suite->run(&events);
  }
  CppUnit::CompilerOutputter(&results, std::cout).write();
  std::cout << results.runTests() - results.testFailuresTotal() << " passed, "
            << results.testFailuresTotal() << " failed\n";
  delete all;
  return results.wasSuccessful() && results.runTests() > 0 ? 0 : 1;
}
