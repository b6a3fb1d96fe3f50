#include "scheduling/crash_verdicts.h"

#include <algorithm>
#include <utility>

namespace dragonflytray {

namespace {

    constexpr std::size_t maxLossesOfWorker = 8;

} // namespace

CrashVerdicts::CrashVerdicts(Options options)
    : options(options)
{
}

void CrashVerdicts::contactLost(ContactLoss loss)
{
    std::vector<ContactLoss>& known = this->losses[loss.worker];
    if (known.size() == maxLossesOfWorker)
        known.erase(known.begin());
    known.push_back(std::move(loss));
}

void CrashVerdicts::contactRegained(const WorkerId& worker)
{
    const auto known = this->losses.find(worker);
    if (known != this->losses.end() && !known->second.empty() && !known->second.back().isConfirmed)
        known->second.pop_back();
}

void CrashVerdicts::confirmLoss(const WorkerId& worker)
{
    const auto known = this->losses.find(worker);
    if (known != this->losses.end() && !known->second.empty())
        known->second.back().isConfirmed = true;
}

void CrashVerdicts::charge(CrashCharge charge)
{
    this->charges.push_back(std::move(charge));
}

std::vector<JudgedCrash> CrashVerdicts::takeDue(Instant now)
{
    const auto due = std::stable_partition(this->charges.begin(), this->charges.end(), [now](const CrashCharge& charge) { return now < charge.dueAt; });
    std::vector<JudgedCrash> judged;
    for (auto charge = due; charge != this->charges.end(); ++charge)
        judged.push_back(this->judge(std::move(*charge)));
    this->charges.erase(due, this->charges.end());
    for (auto& [worker, known] : this->losses)
        std::erase_if(known, [&](const ContactLoss& loss) { return now >= loss.latest + this->options.lossRetention; });
    std::erase_if(this->losses, [](const auto& entry) { return entry.second.empty(); });
    return judged;
}

JudgedCrash CrashVerdicts::judge(CrashCharge charge) const
{
    JudgedCrash judged { .charge = std::move(charge) };
    const Duration margin = this->options.coincidenceMargin;
    const bool isTimeKnown = judged.charge.earliest == judged.charge.latest;
    for (const auto& [worker, known] : this->losses) {
        if (worker == judged.charge.worker)
            continue;
        for (const ContactLoss& loss : known) {
            // One cause ends workers in one way: a broken connection and a silence are two events.
            const bool isOtherKind = isTimeKnown && loss.earliest != loss.latest;
            if (isOtherKind || loss.earliest > judged.charge.latest + margin || loss.latest + margin < judged.charge.earliest)
                continue;
            ++judged.coincidentLosses;
            judged.unexplainedLosses += loss.isConfirmed && !loss.isExplained ? 1 : 0;
        }
    }
    if (judged.unexplainedLosses > this->options.maxUnexplainedLosses)
        judged.verdict = CrashVerdict::Coincident;
    else if (judged.charge.isAlone && judged.coincidentLosses == 0)
        judged.verdict = CrashVerdict::Proven;
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

} // namespace dragonflytray
