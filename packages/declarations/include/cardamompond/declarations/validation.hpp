#pragma once

#include "cardamompond/declarations/finding.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <vector>

namespace cardamompond::declarations {

// Checks a set as a whole: references, owners, tier ranks and queue shares, moves, doubled addresses and
// keys. Returns all findings, with places where `sources` knows them.
std::vector<finding> validate(const object_set& objects, const source_map& sources = {});

// Gives each version the owner of its service; versions of unknown services are left as they are.
void set_version_owners(object_set& objects);

} // namespace cardamompond::declarations
