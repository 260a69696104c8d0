/// @file
/// Load tool: one run against entry instances, then a report.
#include <eelgrasscleat/Load/LoadRun.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Tool/Process.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QCoreApplication>
#include <QTimer>

#include <chrono>
#include <iostream>
#include <unistd.h>

using namespace Eelgrasscleat;

static int code(ExitCode exitCode)
{
    return static_cast<int>(exitCode);
}

static int finish(const Result<schema::LoadReport> &result, bool json)
{
    if (const auto *error = std::get_if<Error>(&result)) {
        std::cerr << "eelgrasscleat-load: " << error->text() << '\n';
        return code(ExitCode::Unreachable);
    }
    const auto &report = std::get<schema::LoadReport>(result);
    std::cout << (json ? toJson(report) + '\n' : loadReportTable(report));
    return code(report.violations() > 0 ? ExitCode::Failure : ExitCode::Success);
}

int main(int argc, char **argv)
{
    const auto parsed = parseLoadCommand(argc, argv);
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::cerr << "eelgrasscleat-load: " << error->text() << '\n';
        return code(ExitCode::Usage);
    }
    const auto &command = std::get<LoadCommand>(parsed);
    if (command.onlyPrint) {
        std::cout << printLoadOptions(command.options);
    }
    if (command.ended || command.onlyPrint || command.onlyCheck) {
        return code(ExitCode::Success);
    }
    startLogging("eelgrasscleat-load", "info");
    const QCoreApplication application(argc, argv);
    LoadRun run(command.options);
    const TerminationSignal signal([&] { run.stop(); });
    QTimer progress;
    if (::isatty(STDERR_FILENO) != 0) {
        QObject::connect(&progress, &QTimer::timeout, [&] { std::cerr << '\r' << run.progress() << "   "; });
        progress.start(std::chrono::seconds(1));
    }
    int exitCode = 0;
    run.start([&](const Result<schema::LoadReport> &result) {
        progress.stop();
        exitCode = finish(result, command.options.json);
        QCoreApplication::quit();
    });
    QCoreApplication::exec();
    return exitCode;
}
