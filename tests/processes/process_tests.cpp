#include <fleet.hpp>
#include <load.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace bench;
using kind = support::counter_event::kind;

namespace
{

const std::string build_folder = PLANTAINWARD_BUILD_DIR;
const std::string log_folder = build_folder + "/test-logs";

shape small_shape()
{
    shape fleet_shape = *shape_named("sialkot");
    fleet_shape.services = 1;
    fleet_shape.proxies = 3;
    fleet_shape.proxy_flags = {"--membership-period-ms", "200"};
    return fleet_shape;
}

/// Sends 100 calls per second, adds and reads of all kinds, through all
/// proxies. Counts the calls that were done and those whose answer was lost.
void run_mixed_load(fleet& running_fleet, callers& load, core::millis duration,
                    std::atomic<int>& done_calls, std::atomic<int>& lost_calls)
{
    load.open_loop(100, duration, [&](core::instant intended) {
        call request;
        const auto roll = load.random();
        request.service = running_fleet.service(0);
        request.slot = static_cast<int>(roll % 3);
        request.counter = "c" + std::to_string(roll / 3 % 4);
        const auto choice = roll / 100 % 6;
        request.kind = choice < 3    ? kind::add
                       : choice == 3 ? kind::latest_read
                       : choice == 4 ? kind::session_read
                                     : kind::aged_read;
        if (request.kind == kind::aged_read)
            request.max_age = core::millis(500);
        load.send(request, intended, [&](const call_result& result) {
            done_calls += result.done ? 1 : 0;
            lost_calls += result.lost ? 1 : 0;
        });
    });
}

/// A fault of real processes and its repair; `primary` is the index of the
/// database that was the primary of slot 0 when the fault was injected.
struct process_fault
{
    const char* name;
    void (*inject)(fleet&, int primary);
    void (*repair)(fleet&, int primary);
};

const std::vector<process_fault> faults{
    {"the primary is killed",
     [](fleet& f, int primary) { f.database(primary).kill(); },
     [](fleet& f, int primary) {
         f.start_database(primary);
     }},
    {"the primary is frozen",
     [](fleet& f, int primary) { f.database(primary).send(SIGSTOP); },
     [](fleet& f, int primary) {
         f.database(primary).send(SIGCONT);
     }},
    {"the primary is cut off from its replicas",
     [](fleet& f, int primary) {
         f.set_database_faults(primary, R"({"cut_replication":true})");
     },
     [](fleet& f, int primary) {
         f.set_database_faults(primary, R"({"cut_replication":false})");
     }},
    {"answers are lost after their effect",
     [](fleet& f, int primary) {
         f.set_database_faults(primary, R"({"drop_answers":10})");
     },
     [](fleet&, int) {
     }},
    {"the platform's services hang and a proxy is paused",
     [](fleet& f, int) {
         f.set_platform_faults(R"({"hung":true})");
         f.proxy(0).send(SIGSTOP);
     },
     [](fleet& f, int) {
         f.proxy(0).send(SIGCONT);
         f.set_platform_faults(R"({"hung":false})");
     }},
    {"a proxy is killed and the primary with it",
     [](fleet& f, int primary) {
         f.proxy(1).kill();
         f.database(primary).kill();
     },
     [](fleet& f, int primary) {
         f.start_proxy(1);
         f.start_database(primary);
     }},
};

int run_program(const std::vector<std::string>& arguments,
                const std::string& log)
{
    auto program = process::start(arguments, log_folder + "/" + log);
    return program ? program->wait() : -1;
}

std::string read_log(const std::string& name)
{
    std::ifstream in(log_folder + "/" + name);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST_GROUP(processes)
{
    std::unique_ptr<fleet> running_fleet;

    void start()
    {
        running_fleet = fleet::start(small_shape(), build_folder, log_folder);
        CHECK(running_fleet != nullptr);
    }

    void check(const callers& load, const char* name)
    {
        const auto violations = load.check();
        CHECK_TEXT(violations.empty(),
                   (std::string(name) + ": " +
                    (violations.empty() ? "" : violations.front()))
                       .c_str());
    }
};

// Guards against lost, repeated or stale results when a process is killed,
// frozen or cut off under load. The history of all calls is compared with the
// logs of the databases after each fault.
TEST(processes, the_history_stays_consistent_after_each_fault_of_a_process)
{
    start();
    for (const auto& fault : faults)
    {
        CHECK_TEXT(
            running_fleet->wait_until_replicated(0, 0, core::millis(30'000)),
            fault.name);
        callers load(*running_fleet);
        std::atomic<int> done{0};
        std::atomic<int> lost{0};
        run_mixed_load(*running_fleet, load, core::millis(500), done, lost);
        const auto primary = running_fleet->primary(0, 0);
        CHECK_TEXT(primary.has_value(), fault.name);
        fault.inject(*running_fleet, *primary);
        run_mixed_load(*running_fleet, load, core::millis(2500), done, lost);
        fault.repair(*running_fleet, *primary);
        load.wait_for_answers();
        CHECK_TEXT(
            running_fleet->wait_until_replicated(0, 0, core::millis(30'000)),
            fault.name);
        CHECK_TEXT(done > 0, fault.name);
        check(load, fault.name);
    }
}

// Guards against requests that are cut off while the proxies are restarted one
// after the other under load.
TEST(processes, a_graceful_shutdown_under_load_cuts_off_no_request)
{
    start();
    callers load(*running_fleet);
    std::atomic<int> done{0};
    std::atomic<int> lost{0};
    std::thread traffic([&] {
        run_mixed_load(*running_fleet, load, core::millis(9000), done, lost);
    });
    for (int proxy = 0; proxy < 3; ++proxy)
    {
        running_fleet->proxy(proxy).send(SIGTERM);
        load.set_in_rotation(proxy, false);
        LONGS_EQUAL(0, running_fleet->proxy(proxy).wait());
        running_fleet->start_proxy(proxy);
        wait_until(core::millis(10'000),
                   [&] { return running_fleet->revision_at(proxy) > 0; });
        load.set_in_rotation(proxy, true);
    }
    traffic.join();
    load.wait_for_answers();
    LONGS_EQUAL(0, lost);
    check(load, "shutdown");
}

// Guards against a proxy that restarts during an outage of the platform and
// comes back without the accepted revision.
TEST(processes, an_accepted_revision_survives_a_platform_outage_and_a_restart)
{
    start();
    const auto revision = running_fleet->apply({}, true);
    CHECK(revision.has_value());
    running_fleet->set_platform_faults(R"({"hung":true})");
    const auto in_force = [&] {
        for (int i = 0; i < 3; ++i)
            if (running_fleet->revision_at(i) < *revision)
                return false;
        return true;
    };
    CHECK(wait_until(core::millis(10'000), in_force));
    // The restarted proxy cannot read the host list; peers that still know its
    // address contact it.
    running_fleet->proxy(2).kill();
    running_fleet->start_proxy(2);
    CHECK(wait_until(core::millis(20'000), in_force));
}

// Guards against a lost update: both operators apply on top of revision 1 at
// the same time. One succeeds (exit code 0), the other gets the conflict (3).
TEST(processes, of_two_simultaneous_applies_one_wins_and_one_gets_a_conflict)
{
    start();
    const auto folder = log_folder + "/intent";
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/10.toml") << running_fleet->intent_text({2});
    std::vector<process> operators;
    operators.reserve(2);
    for (int i = 0; i < 2; ++i)
        operators.push_back(std::move(*process::start(
            {build_folder + "/programs/plantainctl", "apply", folder,
             "--platform", core::to_string(running_fleet->platform_address()),
             "--on", "1", "--author", "operator-" + std::to_string(i)},
            log_folder + "/apply-" + std::to_string(i) + ".log")));
    std::multiset<int> codes{operators[0].wait(), operators[1].wait()};
    CHECK(codes == std::multiset<int>({0, 3}));
}

// Guards against programs that accept bad input or do not name the setting or
// the line at fault.
TEST(processes,
     bad_input_to_the_programs_is_rejected_with_the_place_of_the_error)
{
    std::filesystem::create_directories(log_folder + "/bad");
    std::ofstream(log_folder + "/bad/10.toml")
        << "[service.counter]\nslosts = 3\n";
    LONGS_EQUAL(2, run_program({build_folder + "/programs/plantainwardd",
                                "--threads", "0"},
                               "bad-setting.log"));
    CHECK(read_log("bad-setting.log").find("--host-name") != std::string::npos);
    LONGS_EQUAL(1, run_program({build_folder + "/programs/plantainctl", "check",
                                log_folder + "/bad"},
                               "bad-intent.log"));
    CHECK(
        read_log("bad-intent.log").find("10.toml:2: service.counter.slosts") !=
        std::string::npos);
    LONGS_EQUAL(2, run_program({build_folder + "/programs/plantainctl", "fly"},
                               "bad-command.log"));
    LONGS_EQUAL(0,
                run_program({build_folder + "/programs/plantainctl", "--help"},
                            "help.log"));
}
