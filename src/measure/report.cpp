#include "report.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace Verbenadock::Measure {

void Report::add(const std::string &name, double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << value;
    this->figures.emplace_back(name, text.str());
}

void Report::print() const
{
    for (const auto &[name, value] : this->figures) {
        std::cout << name << '=' << value << '\n';
    }
    std::cout.flush();
}

} // namespace Verbenadock::Measure
