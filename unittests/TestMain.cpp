/// @file
/// Runs all registered CppUnit fixtures of one test program; an argument selects one test by its path.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter(&results, std::cerr).write();
    // A program whose selection matched nothing has proved nothing.
    return results.wasSuccessful() && results.runTests() > 0 ? 0 : 1;
}
