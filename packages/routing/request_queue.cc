#include "routing/request_queue.h"

#include "routing/fair_queue.h"

namespace dragonflytray {

namespace {

    // LevelQueue serves a level only while the levels before it are empty, and each level in order of arrival.
    class LevelQueue : public RequestQueue {
    public:
        void push(PendingRequest pending, double) override
        {
            auto& level = this->levels[this->levelOf(pending.request)];
            if (pending.retries > 0)
                level.push_front(std::move(pending));
            else
                level.push_back(std::move(pending));
        }

        const PendingRequest* front() const override
        {
            for (const auto& level : this->levels) {
                if (!level.empty())
                    return &level.front();
            }
            return nullptr;
        }

        PendingRequest pop() override
        {
            for (auto& level : this->levels) {
                if (level.empty())
                    continue;
                PendingRequest pending = std::move(level.front());
                level.pop_front();
                return pending;
            }
            fail("RequestQueue: pop() of an empty queue");
        }

        std::optional<PendingRequest> evictFor(const Request& incoming, double) override
        {
            // The victim is the last request of the least urgent level that is less urgent than `incoming`.
            for (std::size_t i = this->levels.size() - 1; i > this->levelOf(incoming); --i) {
                if (this->levels[i].empty())
                    continue;
                PendingRequest victim = std::move(this->levels[i].back());
                this->levels[i].pop_back();
                return victim;
            }
            return std::nullopt;
        }

        std::vector<PendingRequest> removeIf(const std::function<bool(const PendingRequest&)>& shouldRemove) override
        {
            std::vector<PendingRequest> removed;
            for (auto& level : this->levels) {
                std::deque<PendingRequest> kept;
                for (PendingRequest& pending : level)
                    (shouldRemove(pending) ? removed.emplace_back(std::move(pending)) : kept.emplace_back(std::move(pending)));
                level = std::move(kept);
            }
            return removed;
        }

        double estimatePosition(const Request& incoming, double) const override
        {
            std::size_t position = 1;
            for (std::size_t i = 0; i <= this->levelOf(incoming); ++i)
                position += this->levels[i].size();
            return static_cast<double>(position);
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

        std::array<std::deque<PendingRequest>, priorityNames.size()> levels;
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
