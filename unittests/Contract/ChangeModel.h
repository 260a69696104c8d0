/// @file
/// A second implementation of conflict detection, for the simulation.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <contract.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace Eelgrasscleat
{

/// A simple, independent model of conflict detection, against which ConfigState is checked.
class ChangeModel
{
public:
    struct Verdict
    {
        schema::ChangeVerdict verdict = schema::CHANGE_VERDICT_UNSPECIFIED;
        std::uint64_t version = 0;
        std::string winner;
    };

    void apply(const schema::ConfigChange &change);

    std::uint64_t version = 0;
    std::map<std::string, Verdict> verdicts; ///< By change id.
    std::map<std::string, std::uint32_t> limits; ///< In-flight limits by customer.

private:
    Verdict evaluateChange(const schema::ConfigChange &change) const;

    std::map<std::string, Verdict> m_lastChanges; ///< By customer; the change's id is stored as winner.
};

} // namespace Eelgrasscleat
