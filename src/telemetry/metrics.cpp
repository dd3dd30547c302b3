#include "verbenadock/telemetry/metrics.h"

#include "prometheus.h"

#include <functional>
#include <stdexcept>
#include <variant>

namespace Verbenadock::Telemetry {

namespace {

/// Time series of one metric type by labels. References to values of a std::map stay valid on insertion.
template<typename Metric>
using SeriesOf = std::map<Labels, Metric>;

using Series = std::variant<SeriesOf<Counter>, SeriesOf<Gauge>, SeriesOf<Histogram>>;

struct Family
{
    std::string help;
    Series series;
};

std::string familyText(const std::string &name, const SeriesOf<Counter> &series)
{
    std::string text = "# TYPE " + name + " counter\n";
    for (const auto &[labels, counter] : series) {
        text += name + internal::labelText(labels) + " " + std::to_string(counter.value()) + "\n";
    }
    return text;
}

std::string familyText(const std::string &name, const SeriesOf<Gauge> &series)
{
    std::string text = "# TYPE " + name + " gauge\n";
    for (const auto &[labels, gauge] : series) {
        text += name + internal::labelText(labels) + " " + internal::numberText(gauge.value()) + "\n";
    }
    return text;
}

std::string familyText(const std::string &name, const SeriesOf<Histogram> &series)
{
    std::string text = "# TYPE " + name + " histogram\n";
    for (const auto &[labels, histogram] : series) {
        text += histogram.prometheusText(name, labels);
    }
    return text;
}

} // namespace

void Counter::add(std::uint64_t amount)
{
    this->total += amount;
}

std::uint64_t Counter::value() const
{
    return this->total;
}

void Gauge::set(double newValue)
{
    this->current = newValue;
}

double Gauge::value() const
{
    return this->current;
}

struct MetricsRegistry::Families
{
    std::map<std::string, Family> byName;

    template<typename Metric>
    Metric &findOrAdd(const std::string &name, const std::string &help, const Labels &labels)
    {
        auto family = this->byName.find(name);
        if (family == this->byName.end()) {
            family = this->byName.emplace(name, Family{.help = help, .series = SeriesOf<Metric>()}).first;
        }
        auto *series = std::get_if<SeriesOf<Metric>>(&family->second.series);
        if (series == nullptr) {
            throw std::logic_error("metric " + name + " is already registered with another type");
        }
        return (*series)[labels];
    }
};

MetricsRegistry::MetricsRegistry()
    : families(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return this->families->findOrAdd<Counter>(name, help, labels);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return this->families->findOrAdd<Gauge>(name, help, labels);
}

Histogram &MetricsRegistry::histogram(const std::string &name, const std::string &help, const Labels &labels)
{
    return this->families->findOrAdd<Histogram>(name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    std::string text;
    for (const auto &[name, family] : this->families->byName) {
        text += "# HELP " + name + " " + internal::escaped(family.help, false) + "\n";
        text += std::visit(
            [&name = name](const auto &series) {
                return familyText(name, series);
            },
            family.series);
    }
    return text;
}

} // namespace Verbenadock::Telemetry
