/// @file
/// Every start that reached a target, with the tasks that were started more than once.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <standin.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Eelgrasscleat
{

/// History of starts since the last clear().
class StartHistory
{
public:
    void add(schema::StartRecord record);
    void clear();
    /// @param from index of the first record of the page
    /// @param max most records of the page
    [[nodiscard]] schema::StartLog page(std::uint64_t from, std::uint64_t max) const;

private:
    /// A task as all targets name it.
    struct TaskName
    {
        std::string customer;
        std::string submission;
        std::uint32_t task = 0;
        bool operator<(const TaskName &other) const
        {
            return std::tie(customer, submission, task) < std::tie(other.customer, other.submission, other.task);
        }
    };

    std::vector<schema::StartRecord> m_records;
    std::map<TaskName, std::uint32_t> m_starts;
    std::uint64_t m_started = 0;
};

} // namespace Eelgrasscleat
