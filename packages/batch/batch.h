#pragma once

// The public header of the `batch` library: the scheduling of jobs by one entry host, which either leads its data
// centre or only accepts submissions.
//
// Batch is pure: it uses no clock, thread, socket or encoding.
//
// Example:
//
//     Batch batch({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa") });
//     BatchEffects effects = batch.handle(SubmitJob { token, job }, now);
//     BatchView view = batch.ask(ListJobsQuery {}, now);

#include "batch/batch_commands.h"
#include "batch/batch_effects.h"
#include "batch/batch_queries.h"
#include "batch/batch_state.h"
#include "batch/placement_strategy.h"
#include "batch/transitions.h"
