#include "routing/routing.h"

namespace dragonflytray {

namespace {

    RowKey claimKey(const Request& request)
    {
        return { RowKind::Request, request.team.value() + "/" + request.id.value() };
    }

} // namespace

TransactionId Routing::makeTransactionId(Instant now)
{
    // The time keeps the ids apart from those of an earlier process with the same host name.
    return TransactionId(this->options.self.value() + "/request/" + std::to_string(now.time_since_epoch().count()) + "/" + std::to_string(++this->lastTransactionNumber));
}

void Routing::startClaim(PendingRequest pending, Instant now, RoutingEffects& effects)
{
    const RowKey key = claimKey(pending.request);
    Transaction transaction { .id = this->makeTransactionId(now), .conditions = { { key, 0 } }, .writes = { { key, RequestRow { this->options.self } } }, .deletes = {} };
    ++this->serviceOf(pending.request.service).claimsInProgress;
    effects.push_back(WriteTransaction { transaction });
    const TransactionId id = transaction.id;
    this->claims.emplace(id, Claim { std::move(pending), std::move(transaction), std::nullopt, false });
}

void Routing::releaseClaim(const Request& request, RowVersion version, Instant now, RoutingEffects& effects)
{
    // The request has not been run, so that its caller may repeat it with the same id. If this write is lost, the
    // repetition is refused as a duplicate, which is safe.
    const RowKey key = claimKey(request);
    effects.push_back(WriteTransaction { Transaction { .id = this->makeTransactionId(now), .conditions = { { key, version } }, .writes = {}, .deletes = { key } } });
}

void Routing::processClaims(Instant now, RoutingEffects& effects)
{
    for (auto& [id, claim] : this->claims) {
        if (!claim.isAbandoned && claim.pending.request.deadline <= now) {
            this->abandonClaim(claim);
            this->refuse(claim.pending, RefusalReason::DeadlinePassed, now, effects);
        }
        if (!claim.isAbandoned && claim.retryAt && *claim.retryAt <= now) {
            claim.retryAt.reset();
            effects.push_back(WriteTransaction { claim.transaction });
        }
    }
    // An abandoned claim that waits for its next write has no result outstanding, and isn't written again.
    this->abandonedClaims -= std::erase_if(this->claims, [](const auto& entry) { return entry.second.isAbandoned && entry.second.retryAt; });
}

void Routing::abandonClaim(Claim& claim)
{
    claim.isAbandoned = true;
    ++this->abandonedClaims;
    --this->serviceOf(claim.pending.request.service).claimsInProgress;
}

} // namespace dragonflytray
