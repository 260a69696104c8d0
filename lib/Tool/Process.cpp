/// @file
/// Command line by TCLAP, termination by signalfd and Qt's event loop.
#include <eelgrasscleat/Support/Settings.h>
#include <eelgrasscleat/Tool/Process.h>

#include <google/protobuf/message.h>
#include <tclap/CmdLine.h>

#include <QSocketNotifier>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace Eelgrasscleat
{

/// What the command line asks for.
struct CommandLine
{
    std::string settingsPath;
    bool check = false;
    bool print = false;
};

static std::optional<ExitCode> parse(int argc, char **argv, const ProcessInfo &info, CommandLine &line)
{
    TCLAP::CmdLine parser(info.purpose, ' ', EELGRASSCLEAT_VERSION);
    parser.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file (TOML)", true, "", "FILE", parser);
    TCLAP::SwitchArg check("c", "check", "Check the settings file and exit", parser);
    TCLAP::SwitchArg print("p", "print-settings", "Print all settings with their sources and exit", parser);
    try {
        parser.parse(argc, argv);
    } catch (const TCLAP::ExitException &end) {
        return end.getExitStatus() == 0 ? ExitCode::Success : ExitCode::Usage;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << info.name << ": " << error.error() << ' ' << error.argId() << '\n';
        return ExitCode::Usage;
    }
    line = { settings.getValue(), check.getValue(), print.getValue() };
    return std::nullopt;
}

std::optional<ExitCode>
readCommandLine(int argc, char **argv, const ProcessInfo &info, google::protobuf::Message &settings)
{
    CommandLine line;
    if (const auto end = parse(argc, argv, info, line)) {
        return end;
    }
    const auto result = readSettings(line.settingsPath, settings);
    if (const auto *error = std::get_if<Error>(&result)) {
        std::cerr << info.name << ": " << error->text() << '\n';
        return ExitCode::Invalid;
    }
    if (line.print) {
        std::cout << printSettings(line.settingsPath, settings);
        return ExitCode::Success;
    }
    if (line.check) {
        return ExitCode::Success;
    }
    return std::nullopt;
}

class SignalWatcher::Impl
{
public:
    Impl(std::initializer_list<int> numbers, std::function<void()> received)
        : m_descriptor(openSignals(numbers))
        , m_notifier(m_descriptor, QSocketNotifier::Read)
    {
        QObject::connect(&m_notifier, &QSocketNotifier::activated, &m_notifier, [this, run = std::move(received)] {
            signalfd_siginfo info {};
            if (::read(m_descriptor, &info, sizeof(info)) == sizeof(info)) {
                run();
            }
        });
    }

    ~Impl()
    {
        m_notifier.setEnabled(false);
        ::close(m_descriptor);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

private:
    static int openSignals(std::initializer_list<int> numbers)
    {
        sigset_t set;
        sigemptyset(&set);
        for (const int it : numbers) {
            sigaddset(&set, it);
        }
        pthread_sigmask(SIG_BLOCK, &set, nullptr);
        return ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    }

    int m_descriptor;
    QSocketNotifier m_notifier;
};

SignalWatcher::SignalWatcher(std::initializer_list<int> numbers, std::function<void()> received)
    : m_impl(std::make_unique<Impl>(numbers, std::move(received)))
{
}

SignalWatcher::~SignalWatcher() = default;

TerminationSignal::TerminationSignal(std::function<void()> terminate)
    : SignalWatcher({ SIGTERM, SIGINT }, std::move(terminate))
{
}

ReloadSignal::ReloadSignal(std::function<void()> reload)
    : SignalWatcher({ SIGHUP }, std::move(reload))
{
}

void announcePort(std::uint16_t port)
{
    std::printf("{\"listening\":%u}\n", static_cast<unsigned>(port));
    std::fflush(stdout);
}

} // namespace Eelgrasscleat
