/// @file
/// Model of another way: an owner by rendezvous hash among live instances grants starts from claims in its memory,
/// and writes them to the log in the background.
#pragma once

#include "Simulation.h"

#include <set>

namespace Eelgrasscleat
{

/// The model. The receiving instance asks the owner, and executes once granted. A new owner knows the claims in the
/// log and what the live executors that it reaches report. It does not stand for the owner of a key that it can't see.
class RendezvousWay : public StartOnceWay
{
public:
    explicit RendezvousWay(Simulation &simulation);

    void submit(std::size_t caller, std::size_t at) override;
    void restarted(std::size_t at) override;
    void platformChanged(std::size_t at) override;
    void readLog(std::size_t at, std::size_t end) override;

private:
    struct Node
    {
        std::set<std::size_t> granted; ///< Claims in memory.
        std::set<std::size_t> executed; ///< What this instance started or has under way.
        std::set<std::size_t> completed;
        std::vector<std::size_t> unwritten;
    };

    [[nodiscard]] std::size_t ownerOf(std::size_t caller) const;
    [[nodiscard]] bool isTaken(std::size_t caller, std::size_t owner);
    void askOwner(std::size_t caller, std::size_t at, std::size_t owner);
    void execute(std::size_t caller, std::size_t at);
    void writeClaims(std::size_t at);

    Simulation &m_simulation;
    std::vector<Node> m_nodes;
    std::set<Digest> m_written; ///< Claims in the log, which all takeovers read.
    std::size_t m_nextRecord = 0;
};

} // namespace Eelgrasscleat
