#include "routing/request_queue.h"

#include "routing/fair_queue.h"

namespace dragonflytray {

namespace {

    // LevelQueue serves its levels one after the other, each in order of arrival.
    class LevelQueue : public RequestQueue {
    public:
        void push(WaitingRequest work, double) override
        {
            auto& level = this->levels[this->levelOf(work.request)];
            if (work.retries > 0)
                level.push_front(std::move(work));
            else
                level.push_back(std::move(work));
        }

        const WaitingRequest* front() const override
        {
            for (const auto& level : this->levels) {
                if (!level.empty())
                    return &level.front();
            }
            return nullptr;
        }

        WaitingRequest take() override
        {
            for (auto& level : this->levels) {
                if (level.empty())
                    continue;
                WaitingRequest work = std::move(level.front());
                level.pop_front();
                return work;
            }
            fail("RequestQueue: take() of an empty queue");
        }

        std::optional<WaitingRequest> shed(const Request& incoming, double) override
        {
            // The last of the least urgent level pays, if that is less urgent than the incoming one.
            for (std::size_t i = this->levels.size() - 1; i > this->levelOf(incoming); --i) {
                if (this->levels[i].empty())
                    continue;
                WaitingRequest victim = std::move(this->levels[i].back());
                this->levels[i].pop_back();
                return victim;
            }
            return std::nullopt;
        }

        std::vector<WaitingRequest> takeIf(const std::function<bool(const WaitingRequest&)>& isTaken) override
        {
            std::vector<WaitingRequest> taken;
            for (auto& level : this->levels) {
                std::deque<WaitingRequest> kept;
                for (WaitingRequest& work : level)
                    (isTaken(work) ? taken.emplace_back(std::move(work)) : kept.emplace_back(std::move(work)));
                level = std::move(kept);
            }
            return taken;
        }

        double requestsBefore(const Request& incoming, double) const override
        {
            std::size_t ahead = 1;
            for (std::size_t i = 0; i <= this->levelOf(incoming); ++i)
                ahead += this->levels[i].size();
            return static_cast<double>(ahead);
        }

        std::size_t size() const override
        {
            std::size_t sum = 0;
            for (const auto& level : this->levels)
                sum += level.size();
            return sum;
        }

    private:
        virtual std::size_t levelOf(const Request& request) const = 0;

        std::array<std::deque<WaitingRequest>, priorityNames.size()> levels;
    };

    class Fifo : public LevelQueue {
        std::size_t levelOf(const Request&) const override { return 0; }
    };

    class StrictPriority : public LevelQueue {
        std::size_t levelOf(const Request& request) const override { return indexOf(request.priority); }
    };

    std::unique_ptr<RequestQueue> makeFair(const ClassFloors& floors) { return std::make_unique<FairQueue>(floors); }
    std::unique_ptr<RequestQueue> makeFifo(const ClassFloors&) { return std::make_unique<Fifo>(); }
    std::unique_ptr<RequestQueue> makeStrictPriority(const ClassFloors&) { return std::make_unique<StrictPriority>(); }

    // In the order of QueueOrderKind.
    using Factory = std::unique_ptr<RequestQueue> (*)(const ClassFloors&);
    constexpr std::array<Factory, queueOrderNames.size()> factories { &makeFair, &makeFifo, &makeStrictPriority };

} // namespace

std::unique_ptr<RequestQueue> makeRequestQueue(QueueOrderKind kind, const ClassFloors& floors)
{
    return factories[indexOf(kind)](floors);
}

} // namespace dragonflytray
