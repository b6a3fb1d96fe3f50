#pragma once

// The public header of the `membership` library: which hosts there are and which declaration is in
// force, as one entry host sees it.
//
// Membership is pure: it knows no clock, thread, socket or encoding.
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
