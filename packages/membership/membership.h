#pragma once

// The public header of the `membership` library. On each entry host it tracks the other hosts and the declaration in
// force, and applies new declarations.
//
// The hosts come from the platform's host list; heartbeats between entry hosts add how each of them is doing. The
// declaration in force is the one with the highest version in the configuration row of the platform's table. An apply
// writes the text to the object store and then the row, on condition that the row has not changed since.
//
// `Membership` is pure: it uses no clock, thread, socket or encoding.
//
// Example:
//
//     Membership membership({ .self = self });
//     MembershipEffects effects = membership.handle(HostListRead { true, hosts }, now);
//     MembershipView view = membership.ask(StatusQuery {}, now);

#include "membership/membership_commands.h"
#include "membership/membership_effects.h"
#include "membership/membership_queries.h"
#include "membership/membership_state.h"
