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

    /// Runs until the function returns a name, at most six seconds.
    std::string run_until(const std::function<std::string()>& find_name)
    {
        for (int i = 0; i < 6000; ++i)
        {
            if (auto name = find_name(); !name.empty())
                return name;
            run_for(millis(1));
        }
        return {};
    }

    /// Runs until a promotion call is in flight and returns its sender.
    std::string wait_for_call()
    {
        return run_until([this] { return promoting_host(); });
    }

    /// Runs until the record is claimed and returns the claiming host.
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

    /// Replaces the primary once without faults and waits until later
    /// promotions by another host do not count as taking turns. Returns the
    /// host that replaced it, which will also be the first to claim again.
    std::string replace_once()
    {
        crash_database("db-a");
        run_for(millis(3000));
        recover_database("db-a");
        run_for(promotion_checker::turn_span + millis(2000));
        return promotions().calls().back().host;
    }

    /// Checks that there was no fault and that statements are served.
    void check_service()
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

// Guards against a promotion call that arrives after a newer one: it takes 2 s,
// longer than the time after which the claim of a frozen host is taken over.
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
    world.check_service();
}

// Guards against a call with an old token that a suspended host sends when it
// resumes.
TEST(promotion, a_host_that_freezes_while_connecting_sends_no_old_token)
{
    promoting_world world;
    world.set_promotion_delay({millis(100), millis(100)});
    world.crash_database("db-a");
    const auto sender = world.wait_for_call();
    world.freeze(sender, millis(6000));
    world.run_for(millis(12'000));
    world.check_service();
}

// Guards against a call that arrives after a newer one: the bytes that a killed
// process has sent are still delivered.
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
    world.check_service();
}

// Guards against a call that arrives after a newer one: its sender learns of
// the newer claim only while its call is in flight.
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
    world.check_service();
}

// Guards against a call that arrives after a newer one: a claim settles on a
// database that leads already while its promotion call is still in flight.
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
    world.check_service();
}

// Guards against a call that stays in flight after its claim has settled and
// arrives after the next promotion.
TEST(promotion, a_call_is_aborted_when_its_database_leads_already)
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

// Guards against two hosts that take turns: the host that claims first learns
// of a leaving primary 0.5 s after the others.
TEST(promotion,
     a_host_that_learns_late_of_a_leaving_primary_does_not_take_turns)
{
    promoting_world world;
    world.set_feed_delay(world.replace_once(), millis(500));
    world.set_leaving(world.leader());
    world.run_for(millis(2500));
    world.crash_database(world.leader());
    world.run_for(millis(6000));
    CHECK(world.history().promotions >= 3);
    world.check_service();
}

// Guards against two hosts that take turns when the primaries of one service
// leave shortly after each other.
TEST(promotion, the_replacement_of_all_databases_is_made_by_one_host)
{
    promoting_world world;
    world.replace_once();
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
    world.check_service();
}

TEST(promotion, a_short_freeze_of_the_promoting_host_keeps_promotions_in_order)
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
    world.check_service();
}

TEST(promotion, the_same_host_skips_a_database_that_is_not_running)
{
    promoting_world world;
    world.set_promotion_delay({millis(200), millis(200)});
    world.crash_database("db-a");
    CHECK_FALSE(world.wait_for_call().empty());
    // Each of the two replicas is down when its promotion call arrives.
    world.crash_database("db-b");
    world.run_for(millis(600));
    world.recover_database("db-b");
    world.crash_database("db-c");
    world.run_for(millis(600));
    world.recover_database("db-c");
    world.run_for(millis(12'000));
    world.check_service();
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
    world.check_service();
}

TEST(promotion, slow_writes_of_records_keep_promotions_in_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.set_store_delay({millis(500), millis(1100)});
    world.crash_database("db-a");
    world.run_for(millis(15'000));
    world.reset_store_delay();
    world.run_for(millis(8000));
    world.check_service();
}

TEST(promotion, lost_answers_to_writes_keep_promotions_in_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.lose_write_answers(true);
    world.crash_database("db-a");
    world.run_for(millis(6000));
    world.lose_write_answers(false);
    world.run_for(millis(12'000));
    world.check_service();
}

// Guards against the late write of a claim that its host no longer waits for:
// the write is performed seconds later.
TEST(promotion, a_write_that_takes_effect_late_keeps_promotions_in_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.delay_writes(true);
    world.crash_database("db-a");
    world.run_for(millis(4000));
    world.delay_writes(false);
    world.run_for(millis(15'000));
    world.check_service();
}

TEST(promotion, refused_writes_of_records_keep_promotions_in_order)
{
    promoting_world world;
    world.set_promotion_delay({millis(5), millis(1000)});
    world.crash_database("db-a");
    CHECK_FALSE(world.wait_for_claim().empty());
    world.refuse_writes(true);
    world.run_for(millis(4000));
    world.refuse_writes(false);
    world.run_for(millis(12'000));
    world.check_service();
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
    world.check_service();
}

// Guards against a leaving primary that stays in use for 10 s: the host that
// claims first does not learn that it is leaving.
TEST(promotion, a_leaving_primary_is_replaced_though_the_last_writer_is_cut_off)
{
    promoting_world world;
    const auto writer = world.replace_once();
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
    world.check_service();
}

// Guards against the same failure with two hosts cut off: a peer that is as far
// behind does not show that the host has the newest tables.
TEST(promotion, a_leaving_primary_is_replaced_though_two_hosts_are_cut_off)
{
    promoting_world world;
    const auto writer = world.replace_once();
    world.set_leaving(world.leader());
    world.run_for(millis(2500));
    world.cut_store(writer);
    world.cut_store(writer == "host-0" ? "host-1" : "host-0");
    const auto old = world.leader();
    world.set_leaving(old);
    world.run_for(millis(5000));
    CHECK(world.leader() != old);
}
