/// @file
/// The product's own table as a way to start once: by ticket, by claim, or by a mixture of both.
#pragma once

#include "Simulation.h"

#include <eelgrasscleat/Execution/SubmissionTable.h>

#include <map>

namespace Eelgrasscleat
{

/// Drives one SubmissionTable for each instance.
class ProductWay : public StartOnceWay
{
public:
    /// @param ticketShare share of callers that hold a ticket
    ProductWay(Simulation &simulation, double ticketShare);

    void submit(std::size_t caller, std::size_t at) override;
    void restarted(std::size_t at) override;
    void platformChanged(std::size_t at) override;
    void readLog(std::size_t at, std::size_t end) override;

private:
    /// Where an answer of a table goes.
    struct Destination
    {
        std::size_t caller = 0;
        std::size_t peer = 0;
        SubmissionId forward; ///< Set if a peer asked.
    };
    struct Node
    {
        std::unique_ptr<SubmissionTable> table;
        std::map<CallerId, Destination> destinations;
        std::vector<Digest> unwritten;
        bool appending = false;
        std::size_t nextRecord = 0;
    };

    [[nodiscard]] schema::Submission bodyOf(std::size_t caller);
    void apply(std::size_t at, ExecutionActions &actions);
    void forward(std::size_t at, const ForwardToHome &action);
    void start(std::size_t at, const EnqueueTasks &action);
    void answer(std::size_t at, const AnswerCaller &action);
    void appendClaims(std::size_t at);

    Simulation &m_simulation;
    double m_ticketShare;
    std::uint64_t m_lastCaller = 0;
    std::vector<Node> m_nodes;
};

} // namespace Eelgrasscleat
