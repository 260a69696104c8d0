/// @file
/// The entry process.
#include <eelgrasscleat/Entry/EntryDaemon.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Tool/Process.h>

#include <settings.pb.h>

#include <QCoreApplication>
#include <QTimer>

#include <iostream>

using namespace Eelgrasscleat;

/// Time between looks for the end of a planned stop.
static constexpr std::chrono::milliseconds StopPollInterval { 20 };

/// Prints one line of JSON with the ports on standard output, for whoever started the process.
static void announcePorts(const EntryPorts &ports)
{
    std::cout << R"({"listening":)" << ports.callers << R"(,"peers":)" << ports.peers << R"(,"operators":)"
              << ports.operators << "}" << std::endl;
}

int main(int argc, char **argv)
{
    const ProcessInfo info { "eelgrasscleatd", "Entry instance of the dispatcher" };
    schema::EntrySettings settings;
    if (const auto end = readCommandLine(argc, argv, info, settings)) {
        return static_cast<int>(*end);
    }
    startLogging(info.name, settings.log().level());
    QCoreApplication application(argc, argv);
    EntryDaemon daemon(settings);
    QTimer poll;
    poll.setInterval(StopPollInterval);
    QObject::connect(&poll, &QTimer::timeout, [&] {
        if (daemon.isStopped()) {
            QCoreApplication::quit();
        }
    });
    const TerminationSignal signal([&] {
        writeLog(LogLevel::Info, "planned stop begins");
        daemon.beginStop();
        poll.start();
    });
    const auto ports = daemon.start();
    if (const auto *error = std::get_if<Error>(&ports)) {
        writeLog(LogLevel::Error,
                 error->detail,
                 { { "step", std::string(stepName(error->step)) }, { "peer", error->peer } });
        return static_cast<int>(ExitCode::Failure);
    }
    announcePorts(std::get<EntryPorts>(ports));
    const int code = QCoreApplication::exec();
    daemon.shutDown();
    writeLog(LogLevel::Info, "stopped");
    return code;
}
