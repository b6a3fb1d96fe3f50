#include "dispatch/delivery_window.h"

#include <algorithm>

namespace dragonflytray {

DeliveryWindow::DeliveryWindow(Options options)
    : options(options)
    , window(options.initialBytes)
{
}

void DeliveryWindow::sent(std::size_t bytes)
{
    this->underWay += bytes;
    this->totalSent += bytes;
    this->wasUsedUp = this->wasUsedUp || !this->hasRoom();
}

void DeliveryWindow::ended(std::size_t bytes, DeliveryOutcome outcome, Duration delay)
{
    if (this->roundEnd == 0)
        this->roundEnd = this->totalSent;
    this->underWay -= std::min(bytes, this->underWay);
    this->totalEnded += bytes;
    const bool isInTime = outcome == DeliveryOutcome::Delivered && delay <= this->options.targetDelay;
    if (isInTime)
        this->inTime += bytes;
    else if (outcome != DeliveryOutcome::Unknown)
        this->late += bytes;
    if (isInTime && delay <= this->options.targetDelay / 2)
        this->early += bytes;
    if (this->totalEnded >= this->roundEnd)
        this->endRound();
}

void DeliveryWindow::endRound()
{
    const auto scaled = [this](double factor) { return std::clamp(static_cast<std::size_t>(static_cast<double>(this->window) * factor), this->options.minBytes, this->options.maxBytes); };
    const bool wasLate = !this->isRecovering && this->late > this->inTime;
    this->isInitialGrowth = this->isInitialGrowth && 2 * this->early >= this->inTime + this->late;
    if (wasLate)
        this->window = scaled(this->options.reduction);
    else if (!this->isRecovering && this->wasUsedUp && this->inTime > this->late)
        this->window = scaled(this->isInitialGrowth ? this->options.initialGrowth : this->options.growth);
    this->isRecovering = wasLate;
    this->inTime = 0;
    this->late = 0;
    this->early = 0;
    this->wasUsedUp = !this->hasRoom();
    this->roundEnd = this->totalSent;
}

void DeliveryWindow::reset()
{
    this->underWay = 0;
    this->inTime = 0;
    this->late = 0;
    this->early = 0;
    this->wasUsedUp = false;
    this->isRecovering = false;
    this->totalSent = 0;
    this->totalEnded = 0;
    this->roundEnd = 0;
}

} // namespace dragonflytray
