/// @file
/// Turns operators' files and names into the operations of one change. No clock, thread or socket inside.
#pragma once

#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <contract.pb.h>
#include <operator.pb.h>

#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// Operations of one change, in order.
using Operations = std::vector<schema::Operation>;

/// @returns the SHA-256 of a customer's key.
std::string hashKey(std::string_view key);

/// @returns a few digits that tell two key hashes apart and give neither away.
std::string keyFingerprint(const std::string &keyHash);

/// @returns the name of @p urgency in contract files.
std::string_view urgencyName(schema::Urgency urgency);

/// Reads a contract file.
/// @param keyHash hash of the customer's key; empty if the file is to keep the published one
/// @returns the contract, or an error that names file, line and key.
Result<schema::Contract> readContractFile(const std::string &path, const std::string &keyHash);

/// Reads the customer's key from a file, without the line end, and hashes it.
Result<std::string> readKeyHash(const std::string &path);

/// Reads a file of targets.
Result<std::vector<schema::Target>> readTargetsFile(const std::string &path);

/// @returns operations that publish @p contracts. One without a key hash keeps that of the published contract.
Result<Operations> publishContracts(const ConfigState &state, std::vector<schema::Contract> contracts);

/// @returns operations that remove these customers' contracts.
Result<Operations> removeContracts(const ConfigState &state, const std::vector<std::string> &customers);

/// @returns operations that add or change these targets; a published state of a target stays.
Operations addTargets(const ConfigState &state, std::vector<schema::Target> targets);

/// @returns operations that give these targets another state.
Result<Operations>
changeTargets(const ConfigState &state, const std::vector<std::string> &names, schema::TargetState wanted);

/// @returns operations that remove these targets.
Result<Operations> retireTargets(const ConfigState &state, const std::vector<std::string> &names);

/// @returns a contract as it may be shown.
schema::ContractView viewContract(const schema::Contract &contract);

/// @returns the fields in which @p wanted differs from the published contract of the same customer.
std::vector<schema::FieldDifference> diffContract(const ConfigState &state, const schema::Contract &wanted);

} // namespace Eelgrasscleat
