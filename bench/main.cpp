// plantainward_bench: runs an experiment on real processes and prints its
// report.

#include "empty_servers.hpp"
#include "options.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include <tclap/CmdLine.h>

namespace bench
{

void progress(const std::string& text)
{
    std::cerr << "  " << text << '\n';
}

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

using experiment = report (*)(const options&);

const std::map<std::string, experiment> experiments{
    {"failover", run_failover},     {"reads", run_reads},
    {"throughput", run_throughput}, {"overload", run_overload},
    {"config", run_config},         {"leaving", run_leaving},
    {"drain", run_drain},           {"idle", run_idle},
    {"scale", run_scale},           {"callers", run_callers}};

void write_file(const std::string& name, const std::string& text)
{
    std::ofstream out(name);
    out << text;
}

int run(const std::string& name, options run_options, const std::string& json)
{
    const auto found = experiments.find(name);
    if (found == experiments.end())
    {
        std::cerr << "plantainward_bench: unknown experiment '" << name
                  << "'; one of failover, reads, throughput, overload, config, "
                     "leaving, drain, idle, scale, callers\n";
        return exit_usage;
    }
    run_options.log_folder += "/" + name;
    auto result = found->second(run_options);
    result.experiment = name;
    result.shape = run_options.fleet_shape.name;
    result.seed = run_options.seed;
    std::cout << table(result) << sketch(result);
    if (!json.empty())
    {
        write_file(json, to_json(result) + "\n");
        if (!result.plot.empty())
            write_file(
                std::filesystem::path(json).replace_extension("svg").string(),
                to_svg(result));
    }
    return result.product.empty() ? exit_failed : 0;
}

} // namespace

} // namespace bench

int main(int argc, char** argv)
{
    if (argc == 4 && std::string(argv[1]) == "--serve-empty")
        return bench::serve_empty(argv[2], std::atoi(argv[3]));
    TCLAP::CmdLine line("Experiments: failover, reads, throughput, overload, "
                        "config, leaving, drain, idle, scale, callers",
                        ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> experiment(
        "experiment", "experiment to run", true, "", "experiment", line);
    TCLAP::ValueArg<std::string> shape("", "shape", "sialkot or flanders",
                                       false, "sialkot", "shape", line);
    TCLAP::ValueArg<int> tries("", "tries", "repetitions", false, 20, "count",
                               line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the load", false,
                                        1, "number", line);
    TCLAP::ValueArg<std::string> json("", "json", "file for the report", false,
                                      "", "file", line);
    TCLAP::SwitchArg quick("", "quick", "fewer tries, under 50 s", line);
    line.parse(argc, argv);
    const auto fleet_shape = bench::shape_named(shape.getValue());
    if (!fleet_shape)
    {
        std::cerr << "plantainward_bench: --shape: '" << shape.getValue()
                  << "' is neither sialkot nor flanders\n";
        return bench::exit_usage;
    }
    const auto self = std::filesystem::canonical("/proc/self/exe");
    const auto program_folder = self.parent_path().parent_path().string();
    return bench::run(experiment.getValue(),
                      {*fleet_shape, tries.getValue(), seed.getValue(),
                       quick.getValue(), program_folder,
                       program_folder + "/bench-logs"},
                      json.getValue());
}
