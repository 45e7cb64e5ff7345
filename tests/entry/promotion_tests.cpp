#include <support/fleet_world.hpp>

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace support;

namespace
{

/// A fleet under load whose primary is settled.
struct promoting_world : fleet_world
{
    promoting_world() : fleet_world(5, 1)
    {
        run_for(millis(2000));
        start_load(millis(10));
        run_for(millis(500));
    }

    std::string run_until(const std::function<std::string()>& found)
    {
        for (int i = 0; i < 6000; ++i)
        {
            if (auto got = found(); !got.empty())
                return got;
            run_for(millis(1));
        }
        return {};
    }

    /// The host whose promotion call is under way.
    std::string wait_for_call()
    {
        return run_until([this] { return promoting_host(); });
    }

    /// The host that has claimed the primary.
    std::string wait_for_claim()
    {
        return run_until([this] { return claiming_host(); });
    }

    void cut_peers(const std::string& host, bool is_cut)
    {
        for (std::size_t i = 0; i < host_count(); ++i)
            if (host_name(i) != host)
                cut(host, host_name(i), is_cut);
    }

    /// Replaces the primary once, without trouble, and waits until that is
    /// long ago; the host that did it acts first on the next cause.
    std::string first_in_rank()
    {
        crash_database("db-a");
        run_for(millis(3000));
        recover_database("db-a");
        run_for(promotion_checker::turn_span + millis(2000));
        return promotions().calls().back().host;
    }

    void check_kept()
    {
        const auto& faults = history().faults;
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
        const auto before = history().served;
        run_for(millis(2000));
        CHECK(history().served > before + 50);
        STRCMP_EQUAL("", faults.empty() ? "" : faults.front().c_str());
    }
};

} // namespace

TEST_GROUP(promotion){};

// A call of 2 s outlives the silence after which a claim is taken over.
TEST(promotion, a_slow_call_of_a_frozen_host_is_not_overtaken)
{
    promoting_world world;
    world.set_promotion_delay({millis(1900), millis(1900)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.run_for(millis(960));
    world.set_promotion_delay({});
    world.freeze(sender, millis(6000));
    world.run_for(millis(12'000));
    world.check_kept();
}

// A suspended host sends its call when it wakes up.
TEST(promotion, a_host_that_freezes_while_it_connects_sends_no_old_token)
{
    promoting_world world;
    world.set_promotion_delay({millis(100), millis(100)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.freeze(sender, millis(6000));
    world.run_for(millis(12'000));
    world.check_kept();
}

// The bytes of a killed process are still delivered.
TEST(promotion, a_slow_call_of_a_restarted_host_is_not_overtaken)
{
    promoting_world world;
    world.set_promotion_delay({millis(1900), millis(1900)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.run_for(millis(960));
    world.set_promotion_delay({});
    world.restart(sender);
    world.run_for(millis(12'000));
    world.check_kept();
}

// The sender hears of the newer claim while its call is under way.
TEST(promotion, a_slow_call_of_a_host_cut_from_its_peers_is_not_overtaken)
{
    promoting_world world;
    world.set_promotion_delay({millis(1900), millis(1900)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.set_promotion_delay({});
    world.cut_peers(sender, true);
    world.run_for(millis(1500));
    world.cut_peers(sender, false);
    world.run_for(millis(12'000));
    world.check_kept();
}

// A claim that settles on a database that leads already leaves its call behind.
TEST(promotion, a_call_for_the_present_primary_is_not_overtaken)
{
    promoting_world world;
    world.set_promotion_delay({millis(1900), millis(1900)});
    world.crash_database("db-a");
    const auto first = world.wait_for_call();
    world.freeze(first, millis(6000));
    world.recover_database("db-a");
    const auto second = world.run_until([&] {
        const auto now = world.promoting_host();
        return now == first ? std::string() : now;
    });
    CHECK_FALSE(second.empty());
    world.run_for(millis(200));
    world.set_promotion_delay({});
    world.crash_database("db-a");
    world.run_for(millis(12'000));
    world.check_kept();
}

// A call that is left behind could overtake the next promotion.
TEST(promotion, a_call_is_broken_off_when_its_database_leads_already)
{
    promoting_world world;
    world.set_promotion_delay({millis(1200), millis(1200)});
    world.crash_database("db-a");
    CHECK_FALSE(world.wait_for_call().empty());
    // An earlier promotion takes effect.
    for (const std::string id : {"db-b", "db-c"})
    {
        world.database(id).is_primary = true;
        world.database(id).term = 2;
    }
    world.run_for(millis(400));
    CHECK(world.promoting_host().empty());
}

// Load: the rank-first host hears of a leaving primary 0.5 s after the others.
TEST(promotion, the_host_that_hears_late_of_a_leaving_primary_takes_no_turn)
{
    promoting_world world;
    world.set_feed_delay(world.first_in_rank(), millis(500));
    world.set_leaving(world.leader());
    world.run_for(millis(2500));
    world.crash_database(world.leader());
    world.run_for(millis(6000));
    CHECK(world.history().promotions >= 3);
    world.check_kept();
}

// Two primaries of one service leave shortly after each other.
TEST(promotion, the_replacement_of_all_databases_is_made_by_one_host)
{
    promoting_world world;
    world.first_in_rank();
    world.set_feed_delay({millis(1), millis(500)});
    for (int i = 0; i < 6; ++i)
    {
        const auto old = world.leader();
        world.set_leaving(old);
        world.run_for(millis(3000));
        world.replace_database(old);
        world.run_for(millis(500));
    }
    CHECK(world.history().promotions >= 6);
    world.check_kept();
}

TEST(promotion, a_silent_moment_of_the_promoting_host_breaks_no_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(300), millis(300)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.freeze(sender, millis(1200));
    world.run_for(millis(3000));
    world.crash_database(world.leader());
    world.run_for(millis(12'000));
    world.recover_database("db-a");
    world.run_for(millis(4000));
    world.check_kept();
}

TEST(promotion, a_database_that_does_not_run_is_passed_over_by_the_same_host)
{
    promoting_world world;
    world.set_promotion_delay({millis(200), millis(200)});
    world.crash_database("db-a");
    CHECK_FALSE(world.wait_for_call().empty());
    // Each of the two replicas in turn is down when the call arrives.
    world.crash_database("db-b");
    world.run_for(millis(600));
    world.recover_database("db-b");
    world.crash_database("db-c");
    world.run_for(millis(600));
    world.recover_database("db-c");
    world.run_for(millis(12'000));
    world.check_kept();
}

TEST(promotion, a_lost_call_is_repeated_by_the_same_host)
{
    promoting_world world;
    world.lose_promotion_calls(true);
    world.crash_database("db-a");
    world.run_for(millis(4000));
    world.lose_promotion_calls(false);
    world.run_for(millis(12'000));
    LONGS_EQUAL(1, world.history().promotions);
    world.check_kept();
}

TEST(promotion, slow_writes_of_records_break_no_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.set_store_delay({millis(500), millis(1100)});
    world.crash_database("db-a");
    world.run_for(millis(15'000));
    world.reset_store_delay();
    world.run_for(millis(8000));
    world.check_kept();
}

TEST(promotion, lost_answers_to_writes_of_records_break_no_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.lose_write_answers(true);
    world.crash_database("db-a");
    world.run_for(millis(6000));
    world.lose_write_answers(false);
    world.run_for(millis(12'000));
    world.check_kept();
}

// A claim that was given up is written seconds later.
TEST(promotion, a_write_that_takes_effect_late_breaks_no_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.delay_writes(true);
    world.crash_database("db-a");
    world.run_for(millis(4000));
    world.delay_writes(false);
    world.run_for(millis(15'000));
    world.check_kept();
}

TEST(promotion, refused_writes_of_records_break_no_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.crash_database("db-a");
    CHECK_FALSE(world.wait_for_claim().empty());
    world.refuse_writes(true);
    world.run_for(millis(4000));
    world.refuse_writes(false);
    world.run_for(millis(12'000));
    world.check_kept();
}

TEST(promotion, a_claim_whose_host_is_cut_from_the_platform_ends)
{
    promoting_world world;
    world.crash_database("db-a");
    const auto claimant = world.wait_for_claim();
    CHECK_FALSE(claimant.empty());
    world.cut_platform(claimant);
    world.run_for(millis(15'000));
    LONGS_EQUAL(1, world.history().promotions);
    world.check_kept();
}

// Guards against a primary that leaves and stays in use for 10 s: the host that
// acts first does not hear of it.
TEST(promotion, a_leaving_primary_is_replaced_though_the_last_writer_is_cut_off)
{
    promoting_world world;
    const auto writer = world.first_in_rank();
    world.set_leaving(world.leader());
    world.run_for(millis(2500));
    LONGS_EQUAL(2, world.history().promotions);
    STRCMP_EQUAL(writer.c_str(),
                 world.promotions().calls().back().host.c_str());
    world.cut_store(writer);
    const auto old = world.leader();
    world.set_leaving(old);
    world.run_for(millis(4000));
    CHECK(world.leader() != old);
    world.cut_store(writer, false);
    world.run_for(millis(12'000));
    world.check_kept();
}

// Guards against the same: a peer that is as far behind does not show that the
// host knows the newest tables.
TEST(promotion, a_leaving_primary_is_replaced_though_two_hosts_are_cut_off)
{
    promoting_world world;
    const auto writer = world.first_in_rank();
    world.set_leaving(world.leader());
    world.run_for(millis(2500));
    world.cut_store(writer);
    world.cut_store(writer == "host-0" ? "host-1" : "host-0");
    const auto old = world.leader();
    world.set_leaving(old);
    world.run_for(millis(5000));
    CHECK(world.leader() != old);
}
