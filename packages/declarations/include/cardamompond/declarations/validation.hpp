#pragma once

#include "cardamompond/declarations/finding.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <vector>

namespace cardamompond::declarations {

// Validates the relations between the objects of a set: references, owners, tier ranks and queue shares,
// rollouts, and duplicate addresses and API keys. Returns all findings, with file and line where `sources`
// records them.
std::vector<finding> validate(const object_set& objects, const source_map& sources = {});

// Sets the owner of each version that has none to the owner of its service. Versions of unknown services are
// not changed.
void set_version_owners(object_set& objects);

} // namespace cardamompond::declarations
