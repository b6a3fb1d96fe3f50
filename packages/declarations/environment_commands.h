#pragma once

// Commands that several packages handle: changes of the known hosts and of the active declaration.
// Membership decides on these changes and the other packages apply them.

#include "declarations/declaration.h"

namespace dragonflytray {

// ChangeHosts replaces the list of known hosts.
struct ChangeHosts {
    std::vector<Host> hosts;
};

// ChangeConfiguration activates a declaration. It is ignored unless its version is higher than that of the
// active one.
struct ChangeConfiguration {
    DeclarationInForce inForce;
};

} // namespace dragonflytray
