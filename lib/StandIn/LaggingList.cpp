/// @file
/// Changes wait in a queue until their lag is over.
#include "LaggingList.h"

namespace Eelgrasscleat
{

LaggingList::LaggingList(Duration lag)
    : m_lag(lag)
{
}

void LaggingList::change(const std::string &name, schema::ListedState state, Instant now)
{
    m_pending.push_back({ now + m_lag, name, state });
}

void LaggingList::setFrozen(bool frozen)
{
    m_frozen = frozen;
}

schema::InstanceListAnswer LaggingList::show(Instant now)
{
    while (!m_frozen && !m_pending.empty() && m_pending.front().visibleAt <= now) {
        const Change &next = m_pending.front();
        if (next.state == schema::LISTED_STATE_UNSPECIFIED) {
            m_shown.erase(next.name);
        } else {
            m_shown[next.name] = next.state;
        }
        m_pending.pop_front();
    }
    schema::InstanceListAnswer answer;
    for (const auto &[name, state] : m_shown) {
        auto *added = answer.add_instances();
        added->set_name(name);
        added->set_state(state);
    }
    return answer;
}

} // namespace Eelgrasscleat
