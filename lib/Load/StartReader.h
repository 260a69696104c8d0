/// @file
/// Reads the records of starts from all targets, page by page.
#pragma once

#include <eelgrasscleat/Load/LoadOptions.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Wire/HttpClient.h>

#include <standin.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Reads the targets one after the other.
class StartReader
{
public:
    StartReader(const std::vector<Endpoint> &targets, std::function<void(const schema::StartRecord &)> record);

    /// @param done called once, with an error if a target can't be read
    void start(std::function<void(std::optional<Error>)> done);

private:
    void readPage();
    void pageRead(const CallResult &result);

    std::vector<Endpoint> m_targets;
    std::function<void(const schema::StartRecord &)> m_record;
    std::function<void(std::optional<Error>)> m_done;
    std::unique_ptr<HttpClient> m_client;
    std::size_t m_current = 0;
    std::uint64_t m_next = 0;
};

} // namespace Eelgrasscleat
