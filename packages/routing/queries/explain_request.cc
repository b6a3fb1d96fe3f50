#include "routing/routing.h"

namespace dragonflytray {

RoutingView Routing::explainRequest(const RoutingQuery& query) const
{
    RequestExplanation explanation { std::get<ExplainRequestQuery>(query).request, {} };
    auto found = this->explanations.find(explanation.request);
    if (found != this->explanations.end())
        explanation.steps = found->second;
    return explanation;
}

} // namespace dragonflytray
