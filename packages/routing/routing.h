#pragma once

// The public header of the `routing` library: admission, queueing, choice of a runner, and retries of the
// requests of one entry host.
//
// Routing does no I/O: it uses no clock, thread, socket or encoding. It takes typed commands with the
// current time and returns typed effects, which the caller of handle() executes.
//
// Example:
//
//     Routing routing({ .self = HostName("entry-1"), .dataCentre = DataCentreName("rs-poa") });
//     RoutingEffects effects = routing.handle(SubmitRequest { token, request }, now);
//     RoutingView view = routing.ask(RoutingSummaryQuery {});

#include "routing/request_queue.h"
#include "routing/request_stage.h"
#include "routing/routing_commands.h"
#include "routing/routing_effects.h"
#include "routing/routing_queries.h"
#include "routing/routing_state.h"
#include "routing/runner_choice.h"
