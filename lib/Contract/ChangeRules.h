/// @file
/// Subjects of the operations of a change.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <contract.pb.h>

#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// Prefix of the subject of a customer's contract.
constexpr std::string_view ContractSubjectPrefix = "contract/";
/// Prefix of the subject of a target.
constexpr std::string_view TargetSubjectPrefix = "target/";

/// @returns the subject that @p operation changes, "contract/NAME" or "target/NAME"; empty if its kind is not set.
std::string operationSubject(const schema::Operation &operation);

/// @returns whether @p operation removes its subject.
bool isRemoval(const schema::Operation &operation);

} // namespace Eelgrasscleat
