#ifndef VERBENADOCK_MEASURE_REPORT_H
#define VERBENADOCK_MEASURE_REPORT_H

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Verbenadock::Measure {

/// Figures of a scenario, printed as one `name=value` a line in the order they were added.
class Report
{
public:
    void add(const std::string &name, double value);

    void add(const std::string &name, std::integral auto value)
    {
        this->figures.emplace_back(name, std::to_string(value));
    }

    void print() const;

private:
    std::vector<std::pair<std::string, std::string>> figures;
};

} // namespace Verbenadock::Measure

#endif
