#pragma once

// How many slots of one runner each entry host should have, by demand.
//
// Example:
//
//     std::vector<double> targets = apportion(8, { 1.0, 3.0 }); // 2.5 and 5.5

#include "model/model.h"
#include <vector>

namespace dragonflytray {

// apportion() divides `slots` in proportion to `weights`, after one slot for each as far as slots allow. The
// targets add up to `slots`; they are not whole. Weights must be positive. Linear. Pure.
std::vector<double> apportion(int slots, const std::vector<double>& weights);

// connectionShare() is the number of connections to `runner` that go with `slots` of it: in proportion, so that
// the connections of all entry hosts keep to the runner's limit whenever the slots do. Pure.
int connectionShare(const Host& runner, int slots);

} // namespace dragonflytray
