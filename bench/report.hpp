#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bench
{

/// Figures by their names, units included.
using figures = std::map<std::string, double>;

/// One line of a plot.
struct series
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/// What an experiment found.
struct report
{
    std::string experiment;
    std::string shape;
    std::uint64_t seed{1};
    int tries{0};
    figures product;
    /// Figures of each baseline that ran in the same run.
    std::map<std::string, figures> baselines;
    /// Broken promises, by the run that showed them.
    std::map<std::string, std::vector<std::string>> violations;
    std::string x_label;
    std::string y_label;
    std::vector<series> plot;
};

/// A table of the figures with the baselines beside them.
std::string table(const report& from);

/// The report as JSON.
std::string to_json(const report& from);

/// The plot as SVG.
std::string to_svg(const report& from);

/// The plot as text.
std::string sketch(const report& from);

} // namespace bench
