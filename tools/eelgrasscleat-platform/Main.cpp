/// @file
/// Process of the stand-in for the platform's log and instance list.
#include <eelgrasscleat/StandIn/PlatformStandIn.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Tool/Process.h>

#include <settings.pb.h>

#include <QCoreApplication>

using namespace Eelgrasscleat;

int main(int argc, char **argv)
{
    const ProcessInfo info { "eelgrasscleat-platform", "Stand-in for the platform's log and instance list, for tests" };
    schema::PlatformStandInSettings settings;
    if (const auto end = readCommandLine(argc, argv, info, settings)) {
        return static_cast<int>(*end);
    }
    startLogging(info.name, "info");
    QCoreApplication application(argc, argv);
    PlatformStandIn standIn(settings);
    const TerminationSignal signal([&] { standIn.stop(&QCoreApplication::quit); });
    const auto port = standIn.listen();
    if (const auto *error = std::get_if<Error>(&port)) {
        writeLog(LogLevel::Error,
                 error->detail,
                 { { "step", std::string(stepName(error->step)) }, { "peer", error->peer } });
        return static_cast<int>(ExitCode::Failure);
    }
    announcePort(std::get<std::uint16_t>(port));
    return QCoreApplication::exec();
}
