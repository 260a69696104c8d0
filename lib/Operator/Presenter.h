/// @file
/// Results of the command: JSON for programs, tables for people.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <operator.pb.h>

#include <string>

namespace Eelgrasscleat
{

std::string table(const schema::ChangeReport &report);
std::string table(const schema::ContractList &list);
std::string table(const schema::TargetList &list);
std::string table(const schema::DiffReport &report);
std::string table(const schema::FleetReport &report);
std::string table(const schema::HistoryReport &report);

} // namespace Eelgrasscleat
