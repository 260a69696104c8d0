/// @file
/// Chooses among dispatchers that have all refused a job because it would wait or be late there. Serves a load near or
/// above what the targets can carry, under which the dispatcher that was asked last is rarely the best one. Contains no
/// clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <map>
#include <optional>

namespace Eelgrasscleat
{

/// The dispatchers that would run a refused job if it may wait and be late, with the expected end there.
class LateOffers
{
public:
    void add(const InstanceName &dispatcher, Instant expectedEnd);
    /// Removes the offer with the earliest expected end.
    /// @returns its dispatcher; nothing if there is no offer
    std::optional<InstanceName> takeBest();
    void clear();
    [[nodiscard]] bool isEmpty() const;

private:
    std::map<InstanceName, Instant> m_expectedEnds;
};

} // namespace Eelgrasscleat
