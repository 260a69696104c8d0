/// @file
/// Validation of a submission based on its body alone, so that every instance comes to the same result.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <submission.pb.h>

#include <optional>
#include <string>

namespace Eelgrasscleat
{

/// Validates all fields except the format of the ticket. @returns a description of the first error, or nothing.
std::optional<std::string> validateSubmission(const schema::Submission &submission);

} // namespace Eelgrasscleat
