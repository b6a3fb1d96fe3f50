#pragma once

// Evacuations of data centres: an operator asks that no task is started on the workers of a data centre until the request is
// withdrawn.
//
// Example:
//
//     DataCentreEvacuations evacuations({});
//     for (const EvacuationChange& change : evacuations.follow(delivered, now))
//         log(change);
//     if (!evacuations.isEvacuated(worker.dataCentre))
//         startTask(worker);

#include "evacuation/data_centre_evacuations.h"
