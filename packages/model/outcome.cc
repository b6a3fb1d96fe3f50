#include "model/outcome.h"

#include <utility>

namespace dragonflytray {

Outcome answered(std::string answer)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Answered;
    outcome.answer = std::move(answer);
    return outcome;
}

Outcome notRun(RefusalReason reason, std::string detail, Duration retryAfter)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::NotRun;
    outcome.reason = reason;
    outcome.detail = std::move(detail);
    outcome.retryAfter = retryAfter;
    return outcome;
}

Outcome unknown(RefusalReason reason, std::string detail)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Unknown;
    outcome.reason = reason;
    outcome.detail = std::move(detail);
    return outcome;
}

} // namespace dragonflytray
