// plantainctl: the command line for operators.

#include "commands.hpp"

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

namespace
{

using namespace plantainctl;

constexpr const char* summary =
    "Operators' commands: check DIR, diff DIR, apply DIR, show, status, "
    "explain ABOUT, drain. Variables: PLANTAINWARD_PLATFORM_ADDRESS, "
    "PLANTAINWARD_PROXIES, PLANTAINWARD_PEER_KEY. Exit codes: 0 done, 1 "
    "failed, 2 usage, 3 another operator changed "
    "the revision first.";

std::string variable_or(const char* name, const std::string& given)
{
    const char* value = std::getenv(name);
    return given.empty() && value != nullptr ? value : given;
}

bool read_addresses(const std::string& text,
                    std::vector<core::address>& addresses)
{
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');)
    {
        const auto address = core::parse_address(part);
        if (!address)
            return false;
        addresses.push_back(*address);
    }
    return true;
}

int usage(const std::string& text)
{
    std::cerr << "plantainctl: " << text << '\n';
    return exit_usage;
}

int dispatch(const context& target, const std::string& command,
             const std::string& operand,
             std::optional<std::uint64_t> on_revision)
{
    const bool takes_folder =
        command == "check" || command == "diff" || command == "apply";
    if (takes_folder && operand.empty())
        return usage(command + " needs a folder");
    if (command == "check")
        return run_check(target, operand);
    if (command == "diff")
        return run_diff(target, operand);
    if (command == "apply")
        return run_apply(target, operand, on_revision);
    if (command == "show")
        return run_show(target);
    if (command == "status")
        return run_status(target);
    if (command == "explain")
        return run_explain(target, operand);
    if (command == "drain")
        return run_drain(target);
    return usage("unknown command '" + command + "'; see --help");
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line(summary, ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> command("command", "command to run",
                                                  true, "", "command", line);
    TCLAP::UnlabeledValueArg<std::string> operand(
        "operand", "folder, or the subject to explain", false, "", "operand",
        line);
    TCLAP::ValueArg<std::string> platform(
        "", "platform", "address of the platform", false, "", "ip:port", line);
    TCLAP::ValueArg<std::string> proxies(
        "", "proxy", "admin addresses of proxies, comma-separated", false, "",
        "ip:port", line);
    TCLAP::ValueArg<std::string> key("", "key", "the proxies' peer key", false,
                                     "", "key", line);
    TCLAP::ValueArg<std::string> author(
        "", "author", "recorded as the author of the revision", false, "",
        "name", line);
    TCLAP::ValueArg<std::uint64_t> on_revision(
        "", "on", "revision that the change was made on", false, 0, "number",
        line);
    TCLAP::SwitchArg as_json("", "json", "print JSON", line);
    try
    {
        line.setExceptionHandling(false);
        line.parse(argc, argv);
    }
    catch (const TCLAP::ExitException& exit_request)
    {
        return exit_request.getExitStatus();
    }
    catch (const TCLAP::ArgException& error)
    {
        return usage(error.argId() + ": " + error.error());
    }

    context target;
    std::vector<core::address> platforms;
    if (!read_addresses(
            variable_or("PLANTAINWARD_PLATFORM_ADDRESS", platform.getValue()),
            platforms) ||
        !read_addresses(variable_or("PLANTAINWARD_PROXIES", proxies.getValue()),
                        target.proxies))
        return usage(core::last_error().text);
    if (!platforms.empty())
        target.platform = platforms.front();
    target.key = variable_or("PLANTAINWARD_PEER_KEY", key.getValue());
    target.author = variable_or("USER", author.getValue());
    target.json = as_json.getValue();
    const auto revision = on_revision.isSet()
                              ? std::optional(on_revision.getValue())
                              : std::nullopt;
    return dispatch(target, command.getValue(), operand.getValue(), revision);
}
