#pragma once

// The public header of the `shares` library: how the slots of runners are divided among the entry hosts of
// a data centre, so that no runner has more requests than slots over all of them.
//
// Every entry host has one `Shares` with two roles. As holder it knows what this host may use, reports it
// to the leader of the data centre and takes the leader's grants. As assigner, while this host leads, it
// keeps a `ShareAllocator` of what every process may hold at most.
//
// The rules, in short:
// - A share moves only after its holder reported that it fell. It doesn't lapse with the leader.
// - What a silent process holds is freed only when it is off the host list (or replaced under its name) and
//   silent for `Timing::releaseTimeout()`.
// - Without guards, a holder gives up all shares once neither the leader has answered a report nor a list
//   has shown this host for `Timing::isolationTimeout`. Word from other peers does not count: a group that is cut off
//   together hears its members, and the leader may have freed all of them. With guards it goes on, unless it reads
//   lists for that long that leave it out: another process has replaced it, and the leader frees what it holds.
// - Evidence is dated by the sending of the question, never by the arrival of the answer, so that a late
//   answer or a paused process extends nothing.
// - Grants are fenced by epoch, sequence and incarnation of the process. A new leader counts only reports
//   that were made under its own epoch, and withholds what others may hold.
// - Connections are divided in proportion to slots; see connectionShare().
//
// Shares is pure: it knows no clock, thread, socket or encoding.
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
