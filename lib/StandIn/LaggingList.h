/// @file
/// The platform's instance list without sockets and clocks: it shows each change a fixed time after it was made.
#pragma once

#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>

#include <deque>
#include <map>
#include <string>

namespace Eelgrasscleat
{

/// Live and leaving instances, as of some time ago.
class LaggingList
{
public:
    explicit LaggingList(Duration lag);

    /// Adds an instance or changes its state; LISTED_STATE_UNSPECIFIED removes it.
    void change(const std::string &name, schema::ListedState state, Instant now);
    /// While frozen, the list shows no further change.
    void setFrozen(bool frozen);
    /// @returns what the list shows at @p now.
    schema::InstanceListAnswer show(Instant now);

private:
    struct Change
    {
        Instant visibleAt;
        std::string name;
        schema::ListedState state;
    };

    Duration m_lag;
    bool m_frozen = false;
    std::deque<Change> m_pending;
    std::map<std::string, schema::ListedState> m_shown;
};

} // namespace Eelgrasscleat
