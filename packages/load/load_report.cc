#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace dragonflytray {

namespace {

    struct QuantileColumn {
        const char* name;
        double share;
    };

    constexpr std::array<QuantileColumn, 3> quantileColumns { { { "p50", 0.5 }, { "p99", 0.99 }, { "p99.9", 0.999 } } };

    double toMillisecondsWithFraction(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

} // namespace

Duration StreamReport::quantile(double q) const
{
    if (this->latencies.empty())
        return Duration(0);
    std::vector<Duration> sorted = this->latencies;
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
    return sorted[index];
}

double StreamReport::goodput() const
{
    return this->length > Duration(0) ? static_cast<double>(this->ends[LoadEnd::Answered]) / toSeconds(this->length) : 0;
}

void LoadReport::declare(const std::string& stream, Duration length)
{
    this->streams[stream].length = length;
}

void LoadReport::add(const std::string& stream, LoadResult result)
{
    StreamReport& report = this->streams[stream];
    ++report.sent;
    ++this->count;
    ++report.ends[result.end];
    if (result.end == LoadEnd::Answered)
        report.latencies.push_back(result.latency);
    else
        ++report.reasons[result.reason];
}

const StreamReport* LoadReport::find(const std::string& stream) const
{
    auto found = this->streams.find(stream);
    return found == this->streams.end() ? nullptr : &found->second;
}

std::string LoadReport::text() const
{
    std::ostringstream stream;
    stream << std::fixed << std::left << std::setw(14) << "stream" << std::right << std::setw(8) << "sent" << std::setw(10) << "answered" << std::setw(12) << "goodput/s";
    for (const QuantileColumn& column : quantileColumns)
        stream << std::setw(10) << column.name << "ms";
    stream << "  other ends\n";
    for (const auto& [name, report] : this->streams) {
        stream << std::left << std::setw(14) << name << std::right << std::setw(8) << report.sent << std::setw(10) << report.ends[LoadEnd::Answered] << std::setw(12) << std::setprecision(1) << report.goodput();
        for (const QuantileColumn& column : quantileColumns)
            stream << std::setw(12) << std::setprecision(3) << toMillisecondsWithFraction(report.quantile(column.share));
        for (const auto& [reason, times] : report.reasons)
            stream << "  " << reason << "=" << times;
        stream << '\n';
    }
    return stream.str();
}

nlohmann::json LoadReport::json() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [name, report] : this->streams) {
        nlohmann::json& entry = result[name];
        entry["sent"] = report.sent;
        for (const auto& end : loadEndNames)
            entry[std::string(end.name)] = report.ends[end.value];
        entry["goodputPerSecond"] = report.goodput();
        for (const QuantileColumn& column : quantileColumns)
            entry[std::string(column.name) + "Milliseconds"] = toMillisecondsWithFraction(report.quantile(column.share));
        entry["reasons"] = report.reasons;
    }
    return result;
}

} // namespace dragonflytray
