/// @file
/// The operators' command.
#include <eelgrasscleat/Operator/OperatorCommand.h>
#include <eelgrasscleat/Support/Settings.h>

#include <QCoreApplication>

#include <iostream>

using namespace Eelgrasscleat;

static int code(ExitCode exitCode)
{
    return static_cast<int>(exitCode);
}

int main(int argc, char **argv)
{
    const auto parsed = parseOperatorRequest(argc, argv);
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::cerr << "eelgrasscleatctl: " << error->text() << '\n';
        return code(ExitCode::Usage);
    }
    const auto &request = std::get<OperatorRequest>(parsed);
    if (request.ended) {
        return code(ExitCode::Success);
    }
    schema::ControlSettings settings;
    const auto read = readSettings(request.settingsPath, settings);
    if (const auto *error = std::get_if<Error>(&read)) {
        std::cerr << "eelgrasscleatctl: " << error->text() << '\n';
        return code(ExitCode::Invalid);
    }
    if (request.onlyPrint) {
        std::cout << printSettings(request.settingsPath, settings);
    }
    if (request.onlyPrint || request.onlyCheck) {
        return code(ExitCode::Success);
    }
    const QCoreApplication application(argc, argv);
    return code(runOperatorRequest(request, settings));
}
