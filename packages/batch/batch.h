#pragma once

// The public header of the `batch` library: what one entry host decides about jobs, as the leader of
// its data centre or as a taker of submissions only.
//
// Batch is pure: it knows no clock, thread, socket or encoding.
//
// Example:
//
//     Batch batch({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa") });
//     BatchEffects effects = batch.handle(SubmitJob { token, job }, now);
//     BatchView view = batch.ask(ListJobsQuery {});

#include "batch/batch_commands.h"
#include "batch/batch_effects.h"
#include "batch/batch_queries.h"
#include "batch/batch_state.h"
#include "batch/placement_strategy.h"
#include "batch/transitions.h"
