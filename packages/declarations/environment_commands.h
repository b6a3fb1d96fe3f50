#pragma once

// Commands about the surroundings that several decision packages take: what hosts there are and which
// declaration is in force. Membership decides them; the others follow.

#include "declarations/declaration.h"

namespace dragonflytray {

// ChangeHosts replaces what is known about hosts.
struct ChangeHosts {
    std::vector<Host> hosts;
};

// ChangeConfiguration puts a declaration in force. A version that is not higher is ignored.
struct ChangeConfiguration {
    DeclarationInForce inForce;
};

} // namespace dragonflytray
