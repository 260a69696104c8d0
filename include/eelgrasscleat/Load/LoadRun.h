/// @file
/// One run of the load tool: sends submissions as they are due, whatever the answers, and checks every answer.
#pragma once

#include <eelgrasscleat/Load/LoadOptions.h>
#include <eelgrasscleat/Support/Schema.h>

#include <load.pb.h>

#include <functional>
#include <memory>
#include <string>

namespace Eelgrasscleat
{

/// The run. Lives on a thread with a Qt event loop.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /// Starts; @p done is called with the report, or with an error if the targets' records can't be read.
    void start(std::function<void(Result<schema::LoadReport>)> done);
    /// Ends the arrivals early; answers are still awaited.
    void stop();
    /// @returns one line on how far it is.
    [[nodiscard]] std::string progress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @returns the report as a table for people.
std::string loadReportTable(const schema::LoadReport &report);

} // namespace Eelgrasscleat
