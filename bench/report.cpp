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

constexpr double width_px = 640;
constexpr double height_px = 400;
constexpr double margin_px = 60;
constexpr int sketch_columns = 60;
constexpr int sketch_rows = 14;
constexpr std::array<const char*, 6> colours{"#1b6ca8", "#c0392b", "#2e8b57",
                                             "#8e44ad", "#b9770e", "#34495e"};
constexpr std::string_view marks = "ox+*#@";

/// Maps the values of a plot to 0..1 in both directions.
struct plot_scale
{
    double min_x{std::numeric_limits<double>::max()};
    double max_x{std::numeric_limits<double>::lowest()};
    double max_y{0};

    explicit plot_scale(const report& result)
    {
        for (const auto& line : result.plot)
            for (const auto& [x, y] : line.points)
            {
                min_x = std::min(min_x, x);
                max_x = std::max(max_x, x);
                max_y = std::max(max_y, y);
            }
    }

    double x(double value) const
    {
        return max_x > min_x ? (value - min_x) / (max_x - min_x) : 0.5;
    }

    double y(double value) const { return max_y > 0 ? value / max_y : 0; }
};

json::object to_json(const figures& values)
{
    json::object object;
    for (const auto& [name, value] : values)
        object[name] = value;
    return object;
}

std::string short_number(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

} // namespace

std::string table(const report& result)
{
    std::ostringstream text;
    text << result.experiment << " (" << result.shape << ", seed "
         << result.seed << ", " << result.tries << " tries)\n";
    text << std::left << std::setw(44) << "figure" << std::setw(14)
         << "product";
    for (const auto& [name, unused] : result.baselines)
        text << std::setw(22) << name;
    text << '\n';
    auto names = result.product;
    for (const auto& [baseline, values] : result.baselines)
        names.insert(values.begin(), values.end());
    for (const auto& [name, unused] : names)
    {
        text << std::setw(44) << name << std::setw(14);
        const auto product_value = result.product.find(name);
        text << (product_value == result.product.end()
                     ? "-"
                     : short_number(product_value->second));
        for (const auto& [baseline, values] : result.baselines)
        {
            const auto found = values.find(name);
            text << std::setw(22)
                 << (found == values.end() ? "-" : short_number(found->second));
        }
        text << '\n';
    }
    for (const auto& [run, messages] : result.violations)
    {
        text << "violations, " << run << ": " << messages.size() << '\n';
        for (std::size_t i = 0; i < std::min<std::size_t>(3, messages.size());
             ++i)
            text << "    " << messages[i] << '\n';
    }
    return text.str();
}

std::string to_json(const report& result)
{
    json::object baselines;
    for (const auto& [name, values] : result.baselines)
        baselines[name] = to_json(values);
    json::object violations;
    for (const auto& [run, messages] : result.violations)
        violations[run] = messages.size();
    return json::serialize(json::object{{"experiment", result.experiment},
                                        {"shape", result.shape},
                                        {"seed", result.seed},
                                        {"tries", result.tries},
                                        {"figures", to_json(result.product)},
                                        {"baselines", std::move(baselines)},
                                        {"violations", std::move(violations)}});
}

std::string to_svg(const report& result)
{
    const plot_scale scale(result);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width_px
        << "\" height=\"" << height_px
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin_px << "\" y=\"24\" font-size=\"15\">"
        << result.experiment << ", " << result.shape << "</text>\n";
    const double right = width_px - margin_px;
    const double bottom = height_px - margin_px;
    svg << "<path d=\"M" << margin_px << ' ' << margin_px << "V" << bottom
        << "H" << right << "\" fill=\"none\" stroke=\"black\"/>\n"
        << "<text x=\"" << margin_px << "\" y=\"" << bottom + 18 << "\">"
        << short_number(scale.min_x) << "</text>\n<text x=\"" << right - 20
        << "\" y=\"" << bottom + 18 << "\">" << short_number(scale.max_x)
        << "</text>\n<text x=\"8\" y=\"" << margin_px + 4 << "\">"
        << short_number(scale.max_y) << "</text>\n<text x=\""
        << width_px / 2 - 40 << "\" y=\"" << bottom + 36 << "\">"
        << result.x_label << "</text>\n<text x=\"8\" y=\"" << margin_px - 12
        << "\">" << result.y_label << "</text>\n";
    for (std::size_t i = 0; i < result.plot.size(); ++i)
    {
        const auto& line = result.plot[i];
        const auto* colour = colours[i % colours.size()];
        svg << "<polyline fill=\"none\" stroke=\"" << colour
            << "\" stroke-width=\"2\" points=\"";
        for (const auto& [x, y] : line.points)
            svg << margin_px + scale.x(x) * (right - margin_px) << ','
                << bottom - scale.y(y) * (bottom - margin_px) << ' ';
        svg << "\"/>\n<text x=\"" << right - 150 << "\" y=\""
            << margin_px + 16 * static_cast<double>(i) << "\" fill=\"" << colour
            << "\">" << line.name << "</text>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

std::string sketch(const report& result)
{
    if (result.plot.empty())
        return {};
    const plot_scale scale(result);
    std::vector<std::string> rows(sketch_rows,
                                  std::string(sketch_columns, ' '));
    std::string legend;
    for (std::size_t i = 0; i < result.plot.size(); ++i)
    {
        const char mark = marks[i % marks.size()];
        legend += std::string("  ") + mark + " " + result.plot[i].name;
        for (const auto& [x, y] : result.plot[i].points)
        {
            const auto column =
                static_cast<std::size_t>(scale.x(x) * (sketch_columns - 1));
            const auto row =
                static_cast<std::size_t>((1 - scale.y(y)) * (sketch_rows - 1));
            rows[row][column] = mark;
        }
    }
    std::string text = result.y_label + " up to " + short_number(scale.max_y) +
                       ", by " + result.x_label + " from " +
                       short_number(scale.min_x) + " to " +
                       short_number(scale.max_x) + "\n";
    for (const auto& row : rows)
        text += "  |" + row + "\n";
    text += "  +" + std::string(sketch_columns, '-') + "\n" + legend + "\n";
    return text;
}

} // namespace bench
