/// @file
/// Submissions to make, drawn from a seed: when, where, how large, and what their caller does later.
#pragma once

#include <eelgrasscleat/Load/LoadOptions.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <submission.pb.h>

#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Something that the caller does after its submission, at an instance chosen at random.
struct FollowUp
{
    Duration after { 0 }; ///< After the arrival.
    std::size_t entry = 0; ///< Index of the entry instance.
};

/// One submission.
struct Arrival
{
    Duration at { 0 }; ///< After the start of the run.
    std::size_t entry = 0; ///< Index of the entry instance.
    std::size_t ticketEntry = 0; ///< Index of the entry instance whose ticket it carries, if tickets are in use.
    schema::SubmissionKind kind = schema::SUBMISSION_KIND_JOB;
    bool nonIdempotent = false;
    std::vector<std::uint32_t> runMs; ///< One per task.
    std::optional<FollowUp> resubmission;
    std::optional<FollowUp> cancel;

    /// @returns the run time of the longest task.
    [[nodiscard]] std::uint32_t longestRunMs() const;
};

/// Open-loop arrivals as a Poisson process. The same options give the same arrivals.
class ArrivalSource
{
public:
    explicit ArrivalSource(const LoadOptions &options);
    /// @returns the next submission, or nothing after the end of the run.
    std::optional<Arrival> next();

private:
    std::uint32_t drawRunMs();
    bool drawFraction(double fraction);
    FollowUp drawFollowUp(const Arrival &arrival);

    LoadOptions m_options;
    RandomSource m_random;
    std::exponential_distribution<double> m_gapSeconds;
    double m_seconds = 0;
};

} // namespace Eelgrasscleat
