#pragma once

// The public header of the `membership` library. On each entry host it tracks the other hosts and the declaration in
// force, and applies new declarations.
//
// The hosts come from the platform's host list. Heartbeats between entry hosts show which of them are alive or leaving,
// and which version each has in force. The declaration in force is the one that the configuration row of the platform's
// table refers to; versions only increase. While the table can't be read, a higher version is taken over if two peers
// agree on it. An apply writes the text to the object store and then the row, on condition that the row has not changed
// since.
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
