#include "report.hpp"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bench
{

namespace json = boost::json;

namespace
{

constexpr double width = 640;
constexpr double height = 400;
constexpr double margin = 60;
constexpr int sketch_columns = 60;
constexpr int sketch_rows = 14;
constexpr std::array<const char*, 6> colours{"#1b6ca8", "#c0392b", "#2e8b57",
                                             "#8e44ad", "#b9770e", "#34495e"};
constexpr std::string_view marks = "ox+*#@";

/// Maps the values of a plot onto a drawing.
struct scale
{
    double least_x{std::numeric_limits<double>::max()};
    double most_x{std::numeric_limits<double>::lowest()};
    double most_y{0};

    explicit scale(const report& from)
    {
        for (const auto& line : from.plot)
            for (const auto& [x, y] : line.points)
            {
                least_x = std::min(least_x, x);
                most_x = std::max(most_x, x);
                most_y = std::max(most_y, y);
            }
    }

    double x(double value) const
    {
        return most_x > least_x ? (value - least_x) / (most_x - least_x) : 0.5;
    }

    double y(double value) const { return most_y > 0 ? value / most_y : 0; }
};

json::object to_json(const figures& from)
{
    json::object made;
    for (const auto& [name, value] : from)
        made[name] = value;
    return made;
}

std::string short_number(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

} // namespace

std::string table(const report& from)
{
    std::ostringstream out;
    out << from.experiment << " (" << from.shape << ", seed " << from.seed
        << ", " << from.tries << " tries)\n";
    out << std::left << std::setw(44) << "figure" << std::setw(14) << "product";
    for (const auto& [name, unused] : from.baselines)
        out << std::setw(22) << name;
    out << '\n';
    auto names = from.product;
    for (const auto& [baseline, values] : from.baselines)
        names.insert(values.begin(), values.end());
    for (const auto& [name, unused] : names)
    {
        out << std::setw(44) << name << std::setw(14);
        const auto mine = from.product.find(name);
        out << (mine == from.product.end() ? "-" : short_number(mine->second));
        for (const auto& [baseline, values] : from.baselines)
        {
            const auto found = values.find(name);
            out << std::setw(22)
                << (found == values.end() ? "-" : short_number(found->second));
        }
        out << '\n';
    }
    for (const auto& [run, faults] : from.violations)
    {
        out << "violations, " << run << ": " << faults.size() << '\n';
        for (std::size_t i = 0; i < std::min<std::size_t>(3, faults.size());
             ++i)
            out << "    " << faults[i] << '\n';
    }
    return out.str();
}

std::string to_json(const report& from)
{
    json::object baselines;
    for (const auto& [name, values] : from.baselines)
        baselines[name] = to_json(values);
    json::object violations;
    for (const auto& [run, faults] : from.violations)
        violations[run] = faults.size();
    return json::serialize(json::object{{"experiment", from.experiment},
                                        {"shape", from.shape},
                                        {"seed", from.seed},
                                        {"tries", from.tries},
                                        {"figures", to_json(from.product)},
                                        {"baselines", std::move(baselines)},
                                        {"violations", std::move(violations)}});
}

std::string to_svg(const report& from)
{
    const scale fit(from);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"24\" font-size=\"15\">"
        << from.experiment << ", " << from.shape << "</text>\n";
    const double right = width - margin;
    const double bottom = height - margin;
    out << "<path d=\"M" << margin << ' ' << margin << "V" << bottom << "H"
        << right << "\" fill=\"none\" stroke=\"black\"/>\n"
        << "<text x=\"" << margin << "\" y=\"" << bottom + 18 << "\">"
        << short_number(fit.least_x) << "</text>\n<text x=\"" << right - 20
        << "\" y=\"" << bottom + 18 << "\">" << short_number(fit.most_x)
        << "</text>\n<text x=\"8\" y=\"" << margin + 4 << "\">"
        << short_number(fit.most_y) << "</text>\n<text x=\"" << width / 2 - 40
        << "\" y=\"" << bottom + 36 << "\">" << from.x_label
        << "</text>\n<text x=\"8\" y=\"" << margin - 12 << "\">" << from.y_label
        << "</text>\n";
    for (std::size_t i = 0; i < from.plot.size(); ++i)
    {
        const auto& line = from.plot[i];
        const auto* colour = colours[i % colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour
            << "\" stroke-width=\"2\" points=\"";
        for (const auto& [x, y] : line.points)
            out << margin + fit.x(x) * (right - margin) << ','
                << bottom - fit.y(y) * (bottom - margin) << ' ';
        out << "\"/>\n<text x=\"" << right - 150 << "\" y=\""
            << margin + 16 * static_cast<double>(i) << "\" fill=\"" << colour
            << "\">" << line.name << "</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

std::string sketch(const report& from)
{
    if (from.plot.empty())
        return {};
    const scale fit(from);
    std::vector<std::string> rows(sketch_rows,
                                  std::string(sketch_columns, ' '));
    std::string legend;
    for (std::size_t i = 0; i < from.plot.size(); ++i)
    {
        const char mark = marks[i % marks.size()];
        legend += std::string("  ") + mark + " " + from.plot[i].name;
        for (const auto& [x, y] : from.plot[i].points)
        {
            const auto column =
                static_cast<std::size_t>(fit.x(x) * (sketch_columns - 1));
            const auto row =
                static_cast<std::size_t>((1 - fit.y(y)) * (sketch_rows - 1));
            rows[row][column] = mark;
        }
    }
    std::string text = from.y_label + " up to " + short_number(fit.most_y) +
                       ", by " + from.x_label + " from " +
                       short_number(fit.least_x) + " to " +
                       short_number(fit.most_x) + "\n";
    for (const auto& row : rows)
        text += "  |" + row + "\n";
    text += "  +" + std::string(sketch_columns, '-') + "\n" + legend + "\n";
    return text;
}

} // namespace bench
