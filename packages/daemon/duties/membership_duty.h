#pragma once

// The duty that decides about hosts and configuration: it owns `Membership`.

#include "daemon/messages.h"
#include "daemon/settings.h"
#include <deque>

namespace dragonflytray {

// MembershipDuty carries commands and queries to `Membership` and its effects to the other duties.
class MembershipDuty {
public:
    MembershipDuty(const Settings& settings, Rings& rings);

    // run() returns once the ring of membership messages is closed and empty.
    void run();

private:
    void handle(MembershipMessage message);
    void decide(const MembershipCommand& command);
    void carryOut(WriteTransaction effect);
    void carryOut(ReadRows effect);
    void carryOut(ReadObject effect);
    void carryOut(WriteObject effect);
    void carryOut(ReadHostList effect);
    void carryOut(SendHeartbeat effect);
    void carryOut(const PublishHosts& effect);
    void carryOut(const PublishConfiguration& effect);
    void carryOut(ReplyToOperator effect);
    void confirmList(bool isRead);
    void logEvacuations(const std::vector<DataCentreName>& evacuated);
    void ask(PlatformWork work);
    void tick(Instant now);

    Rings& rings;
    Membership membership;
    std::deque<Instant> listAskedAt; // reads of the host list under way
    std::vector<DataCentreName> loggedEvacuations;
    bool wasReady { false };
    Instant nextReport;
};

} // namespace dragonflytray
