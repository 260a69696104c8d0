/// @file
/// Short name for the namespace of the generated messages.
#pragma once

namespace eelgrasscleat::schema
{
}

namespace Eelgrasscleat
{
namespace schema = ::eelgrasscleat::schema;
} // namespace Eelgrasscleat
