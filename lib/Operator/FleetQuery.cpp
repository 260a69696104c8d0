/// @file
/// One call to each operator port.
#include "FleetQuery.h"

#include <eelgrasscleat/Wire/HttpClient.h>
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QEventLoop>

#include <memory>
#include <vector>

namespace Eelgrasscleat
{

static constexpr unsigned HttpOk = 200;

static void fillReport(const CallResult &result, schema::InstanceReport &report)
{
    if (result.end != CallEnd::Answered || result.status != HttpOk) {
        report.set_detail(result.end == CallEnd::Answered ? "HTTP status " + std::to_string(result.status)
                                                          : result.detail);
        return;
    }
    const auto parsed = fromJson(result.body, *report.mutable_status());
    if (const auto *error = std::get_if<Error>(&parsed)) {
        report.clear_status();
        report.set_detail(error->detail);
        return;
    }
    report.set_reachable(true);
}

schema::FleetReport queryFleet(const schema::ControlSettings &settings)
{
    schema::FleetReport fleet;
    std::vector<std::unique_ptr<HttpClient>> clients;
    QEventLoop loop;
    int pending = settings.instances_size();
    for (const schema::OperatorEndpoint &it : settings.instances()) {
        fleet.add_instances()->set_name(it.name());
        clients.push_back(std::make_unique<HttpClient>(it.address(), static_cast<std::uint16_t>(it.port()), 1));
    }
    for (int index = 0; index < settings.instances_size(); ++index) {
        HttpCall call;
        call.method = "GET";
        call.target = "/status";
        call.timeout = std::chrono::milliseconds(settings.platform().timeout_ms());
        clients[static_cast<std::size_t>(index)]->call(std::move(call), [&, index](const CallResult &result) {
            fillReport(result, *fleet.mutable_instances(index));
            if (--pending == 0) {
                loop.quit();
            }
        });
    }
    if (pending > 0) {
        loop.exec();
    }
    return fleet;
}

} // namespace Eelgrasscleat
