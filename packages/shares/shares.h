#pragma once

// The public header of the `shares` library. It divides the slots of runners among the entry hosts of a data centre, so
// that all entry hosts together never send a runner more requests than it has slots.
//
// Every entry host has one `Shares` object with two roles. As a holder it keeps the slots that this host may use,
// reports them to the leader of the data centre and applies the leader's grants. While this host is the leader, it also
// allocates the slots of all runners with a `ShareAllocator`.
//
// Rules:
// - A slot is granted to another holder only after its present holder has reported that it uses it no longer. Shares do
//   not expire when the leader changes or fails.
// - The slots of a process that stopped reporting are released only after `Timing::releaseTimeout()` without a report,
//   and only if the process is off the host list or another process has replaced it under its name.
// - A data centre has guards if its runners refuse requests above their slots. Without guards, a holder drops all shares
//   after `Timing::isolationTimeout` in which neither the leader answered a report nor a host list showed this host.
//   Messages from other peers don't count: the hosts of a partition that is cut off from the leader still hear each
//   other, while the leader may have released the slots of all of them.
// - With guards, a holder keeps its shares when it is isolated. It drops them only if every host list that it read for
//   `Timing::isolationTimeout` left it out, because then another process has replaced it and the leader releases its
//   slots.
// - Evidence counts from the time at which the request was sent, never from the arrival of the response. A late response
//   or a pause of the process therefore extends nothing.
// - Grants are fenced by the epoch, a sequence number and the incarnation of the process. A new leader uses only reports
//   made in its own epoch, and reserves slots for processes that have not reported yet.
// - Connections are divided in proportion to slots; see connectionShare().
//
// `Shares` is pure: it uses no clock, thread, socket or encoding.
//
// Example:
//
//     Shares shares({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa"), .incarnation = 17 });
//     SharesEffects effects = shares.handle(SharesTick {}, now);

#include "shares/apportionment.h"
#include "shares/share_allocator.h"
#include "shares/shares_commands.h"
#include "shares/shares_effects.h"
#include "shares/shares_queries.h"
#include "shares/shares_state.h"
