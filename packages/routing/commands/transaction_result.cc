#include "routing/routing.h"

#include <algorithm>

namespace dragonflytray {

namespace {

    constexpr Duration ambiguousRetryDelay = std::chrono::milliseconds(50); // before the same transaction is submitted again

    // ownRowVersion() returns the version of the row if this transaction wrote it, also in an earlier try, or 0.
    RowVersion ownRowVersion(const TransactionResult& result)
    {
        if (result.status == TransactionStatus::Committed)
            return result.revision;
        auto own = std::find_if(result.conflicts.begin(), result.conflicts.end(), [&](const RowChange& row) { return row.writer == result.id; });
        return own == result.conflicts.end() ? 0 : own->version;
    }

} // namespace

void Routing::transactionResult(const RoutingCommand& command, Instant now, RoutingEffects& effects)
{
    const auto& result = std::get<TransactionResult>(command);
    auto found = this->claims.find(result.id);
    if (found == this->claims.end() || found->second.retryAt)
        return; // the result of releaseClaim(), or a duplicate
    if (result.status == TransactionStatus::Ambiguous && !found->second.isAbandoned) {
        // The next try shows by the row's writer whether this one took effect.
        found->second.retryAt = now + ambiguousRetryDelay;
        return;
    }
    Claim claim = std::move(found->second);
    this->claims.erase(found);
    claim.pending.claimVersion = ownRowVersion(result);
    if (claim.isAbandoned) {
        --this->abandonedClaims;
        if (claim.pending.claimVersion != 0)
            this->releaseClaim(claim.pending.request, claim.pending.claimVersion, now, effects);
        return;
    }
    --this->serviceOf(claim.pending.request.service).claimsInProgress;
    this->finishClaim(std::move(claim.pending), result.status, now, effects);
}

void Routing::finishClaim(PendingRequest pending, TransactionStatus status, Instant now, RoutingEffects& effects)
{
    if (pending.claimVersion != 0) {
        const ServiceName service = pending.request.service;
        this->enqueue(std::move(pending), now);
        return this->dispatch(service, now, effects);
    }
    if (status == TransactionStatus::Unavailable)
        return this->refuse(pending, RefusalReason::StoreUnavailable, now, effects);
    // The row belongs to an earlier request with this id, which may have been run.
    pending.mayHaveRun = true;
    this->refuse(pending, RefusalReason::DuplicateRequest, now, effects);
}

} // namespace dragonflytray
