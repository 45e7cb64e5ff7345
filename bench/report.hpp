#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bench
{

/// Figures by name; the names include the units.
using figures = std::map<std::string, double>;

/// One line of a plot.
struct series
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/// The result of an experiment.
struct report
{
    std::string experiment;
    std::string shape;
    std::uint64_t seed{1};
    int tries{0};
    /// Figures of the product.
    figures product;
    /// Figures of each baseline that ran in the same run.
    std::map<std::string, figures> baselines;
    /// Violated guarantees, by the run in which they were seen.
    std::map<std::string, std::vector<std::string>> violations;
    std::string x_label;
    std::string y_label;
    std::vector<series> plot;
};

/// A text table of the figures; the baselines have a column each.
std::string table(const report& result);

/// The report as JSON, without the plot.
std::string to_json(const report& result);

/// The plot as SVG.
std::string to_svg(const report& result);

/// The plot as text; empty when there is none.
std::string sketch(const report& result);

} // namespace bench
