#include "scheduling/crash_verdicts.h"

#include <algorithm>
#include <utility>

namespace dragonflytray {

CrashVerdicts::CrashVerdicts(Options options)
    : options(options)
{
}

void CrashVerdicts::contactLost(ContactLoss loss)
{
    WorkerId worker = loss.worker;
    this->losses.insert_or_assign(std::move(worker), std::move(loss));
}

void CrashVerdicts::charge(CrashCharge charge)
{
    this->charges.push_back(std::move(charge));
}

std::vector<JudgedCrash> CrashVerdicts::takeDue(Instant now, std::size_t workers)
{
    const auto due = std::stable_partition(this->charges.begin(), this->charges.end(), [now](const CrashCharge& charge) { return now < charge.dueAt; });
    const auto maxCoincidentLosses = std::max<std::size_t>(1, static_cast<std::size_t>(this->options.maxCoincidentShare * static_cast<double>(workers)));
    std::vector<JudgedCrash> judged;
    for (auto charge = due; charge != this->charges.end(); ++charge) {
        const std::size_t coincident = this->coincidentLosses(*charge);
        const CrashVerdict verdict = coincident > maxCoincidentLosses ? CrashVerdict::Coincident : charge->isAlone ? CrashVerdict::Proven
                                                                                                                   : CrashVerdict::Possible;
        judged.push_back({ std::move(*charge), verdict, coincident });
    }
    this->charges.erase(due, this->charges.end());
    std::erase_if(this->losses, [&](const auto& entry) { return now >= entry.second.latest + this->options.lossRetention; });
    return judged;
}

void CrashVerdicts::clear()
{
    this->charges.clear();
    this->losses.clear();
}

bool CrashVerdicts::isPending(const TaskId& suspect) const
{
    return std::any_of(this->charges.begin(), this->charges.end(), [&](const CrashCharge& charge) { return charge.suspect == suspect; });
}

std::size_t CrashVerdicts::coincidentLosses(const CrashCharge& charge) const
{
    const Duration margin = this->options.coincidenceMargin;
    return static_cast<std::size_t>(std::count_if(this->losses.begin(), this->losses.end(), [&](const auto& entry) {
        const ContactLoss& loss = entry.second;
        const bool isSameTime = loss.earliest <= charge.latest + margin && loss.latest + margin >= charge.earliest;
        // The job itself may have ended a worker on which another of its runs had just begun.
        return isSameTime && loss.worker != charge.worker && !loss.exposedJobs.contains(charge.suspect.job);
    }));
}

} // namespace dragonflytray
