/// @file
/// Process of the stand-in for a target.
#include <eelgrasscleat/StandIn/TargetStandIn.h>
#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Tool/Process.h>

#include <settings.pb.h>

#include <QCoreApplication>

using namespace Eelgrasscleat;

int main(int argc, char **argv)
{
    const ProcessInfo info { "eelgrasscleat-target", "Stand-in for a target, for tests" };
    schema::TargetStandInSettings settings;
    if (const auto end = readCommandLine(argc, argv, info, settings)) {
        return static_cast<int>(*end);
    }
    startLogging(info.name, "info");
    QCoreApplication application(argc, argv);
    TargetStandIn standIn(settings);
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
