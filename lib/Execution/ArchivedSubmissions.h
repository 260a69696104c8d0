/// @file
/// Compact entries, a few dozen bytes each, for claims read from the log and for submissions that ended on this
/// instance.
#pragma once

#include "AgedDigestTable.h"

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>

#include <submission.pb.h>

#include <cstdint>

namespace Eelgrasscleat
{

/// The first claim of a digest, which determines its home permanently.
struct Claim
{
    IncarnationId home;
    std::int64_t createdMs = 0; ///< Upper bound of the claimed submission's creation time.
};

/// A submission that ended on this instance. Retained after its full answer has been evicted, so that no late or
/// repeated request can start it again.
struct EndedSubmission
{
    std::uint64_t bodyDigestLow = 0; ///< Low half of the body's digest.
    std::int64_t createdMs = 0;
    schema::FailureReason reason = schema::FAILURE_REASON_NONE;
    schema::RunCertainty certainty = schema::RUN_CERTAINTY_UNSPECIFIED;
    bool undecided = false; ///< It ended before the log had determined its home.
};

using ClaimTable = AgedDigestTable<Claim>;
using EndedTable = AgedDigestTable<EndedSubmission>;

/// Maximum sizes of the two tables: 8 MB of claims and 6 MB of ended submissions.
inline constexpr std::size_t MaxClaimSlots = std::size_t { 1 } << 18;
inline constexpr std::size_t MaxEndedSlots = std::size_t { 1 } << 17;

} // namespace Eelgrasscleat
