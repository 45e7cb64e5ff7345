#include <plantainward/membership/membership.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace plantainward;
using membership::membership_options;
using membership::message;

namespace
{

core::host make_host(int index)
{
    return {"host-" + std::to_string(index),
            "domain-" + std::to_string(index % 3),
            {"127.0.0.1", 1},
            {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)}};
}

/// Members under a fake clock, on a network that drops every
/// `m_loss_interval`th datagram and can be partitioned.
class cluster
{
public:
    explicit cluster(int count)
    {
        std::vector<core::host> hosts;
        hosts.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            hosts.push_back(make_host(i));
        m_listed = hosts;
        for (int i = 0; i < count; ++i)
            start(i, 1);
    }

    void start(int index, std::uint64_t incarnation)
    {
        m_members.erase(index);
        m_members.try_emplace(index, make_host(index), incarnation,
                              membership_options{},
                              static_cast<std::uint64_t>(index) + 1);
        m_members.at(index).set_listed(m_listed);
    }

    void run_for(core::millis duration)
    {
        const auto end = m_now + duration;
        for (; m_now < end; m_now += core::millis(10))
            for (auto& [index, member] : m_members)
                if (!m_stopped.contains(index))
                    carry_out(index, member.on_tick(m_now));
    }

    void carry_out(int from, const membership::actions& actions)
    {
        for (const auto& action : actions)
        {
            if (const auto* fetch =
                    std::get_if<membership::fetch_action>(&action))
                m_fetched[from] = std::max(m_fetched[from], fetch->revision);
            const auto* send = std::get_if<membership::send_action>(&action);
            if (send == nullptr)
                continue;
            ++m_sent;
            const int to = send->destination.port - 1000;
            if (!m_members.contains(to) || m_stopped.contains(to) ||
                is_separated(from, to) ||
                (m_loss_interval > 0 && m_sent % m_loss_interval == 0))
                continue;
            carry_out(to, m_members.at(to).on_message(send->datagram, m_now));
        }
    }

    bool is_separated(int a, int b) const
    {
        return m_is_partitioned && (a < m_boundary) != (b < m_boundary);
    }

    std::size_t live_at(int index) { return m_members.at(index).live().size(); }

    bool all_see(std::size_t count)
    {
        return std::all_of(m_members.begin(), m_members.end(), [&](auto& item) {
            return m_stopped.contains(item.first) ||
                   item.second.live().size() == count;
        });
    }

    std::map<int, membership::membership> m_members;
    std::vector<core::host> m_listed;
    std::set<int> m_stopped;
    std::map<int, std::uint64_t> m_fetched;
    core::instant m_now{core::instant{} + core::millis(1'000'000)};
    std::size_t m_sent{0};
    std::size_t m_loss_interval{0};
    int m_boundary{0};
    bool m_is_partitioned{false};
};

} // namespace

TEST_GROUP(members){};

TEST(members, hosts_find_each_other_from_the_list)
{
    cluster fleet(16);
    fleet.run_for(core::millis(10'000));
    CHECK(fleet.all_see(16));
}

TEST(members, a_host_that_stops_is_removed_everywhere)
{
    cluster fleet(16);
    fleet.run_for(core::millis(10'000));
    fleet.m_stopped.insert(5);
    fleet.run_for(core::millis(20'000));
    CHECK(fleet.all_see(15));
}

TEST(members, a_host_that_leaves_is_removed_within_three_seconds)
{
    cluster fleet(16);
    fleet.run_for(core::millis(10'000));
    fleet.carry_out(5, fleet.m_members.at(5).leave());
    fleet.m_stopped.insert(5);
    fleet.run_for(core::millis(3000));
    CHECK(fleet.all_see(15));
}

TEST(members, a_host_that_was_frozen_returns)
{
    cluster fleet(8);
    fleet.run_for(core::millis(10'000));
    fleet.m_stopped.insert(3);
    fleet.run_for(core::millis(20'000));
    CHECK(fleet.all_see(7));
    fleet.m_stopped.clear();
    fleet.run_for(core::millis(20'000));
    CHECK(fleet.all_see(8));
}

TEST(members, a_restarted_host_returns_with_a_new_incarnation)
{
    cluster fleet(8);
    fleet.run_for(core::millis(10'000));
    fleet.m_stopped.insert(3);
    fleet.run_for(core::millis(20'000));
    fleet.m_stopped.clear();
    fleet.start(3, 2);
    fleet.run_for(core::millis(15'000));
    CHECK(fleet.all_see(8));
}

// The first incarnation of a process is its wall clock at the start, which is
// lower than before if the clock was set back.
TEST(members, a_host_that_restarts_with_a_lower_incarnation_refutes_its_death)
{
    cluster fleet(8);
    fleet.start(3, 100);
    fleet.run_for(core::millis(10'000));
    fleet.m_stopped.insert(3);
    fleet.run_for(core::millis(20'000));
    fleet.m_stopped.clear();
    fleet.start(3, 50);
    fleet.run_for(core::millis(20'000));
    CHECK(fleet.all_see(8));
}

TEST(members, both_sides_of_a_partition_continue_and_rejoin_afterwards)
{
    cluster fleet(12);
    fleet.run_for(core::millis(10'000));
    fleet.m_boundary = 4;
    fleet.m_is_partitioned = true;
    fleet.run_for(core::millis(40'000));
    LONGS_EQUAL(4, fleet.live_at(0));
    LONGS_EQUAL(8, fleet.live_at(11));
    fleet.m_is_partitioned = false;
    fleet.run_for(core::millis(30'000));
    CHECK(fleet.all_see(12));
}

TEST(members, lost_datagrams_remove_no_host)
{
    cluster fleet(12);
    fleet.run_for(core::millis(10'000));
    fleet.m_loss_interval = 10;
    fleet.run_for(core::millis(60'000));
    CHECK(fleet.all_see(12));
}

TEST(members, a_new_revision_reaches_every_host)
{
    cluster fleet(16);
    fleet.run_for(core::millis(10'000));
    fleet.carry_out(0, fleet.m_members.at(0).set_revision(7));
    for (int i = 0; i < 40; ++i)
    {
        fleet.run_for(core::millis(50));
        // Each host that has fetched the revision announces it in turn.
        for (const auto& [host, revision] : std::map(fleet.m_fetched))
            fleet.carry_out(host,
                            fleet.m_members.at(host).set_revision(revision));
    }
    LONGS_EQUAL(15, fleet.m_fetched.size());
}

TEST(members, the_datagram_rate_of_a_host_does_not_grow_with_the_fleet)
{
    std::map<int, double> rate;
    for (const int count : {8, 64})
    {
        cluster fleet(count);
        fleet.run_for(core::millis(30'000));
        fleet.m_sent = 0;
        fleet.run_for(core::millis(10'000));
        rate[count] = static_cast<double>(fleet.m_sent) / 10 / count;
    }
    CHECK(rate[64] <= rate[8] * 1.1);
}

TEST_GROUP(message_codec)
{
    membership::message_codec codec{"0123456789abcdef"};
};

TEST(message_codec, an_encoded_datagram_decodes_to_the_same_values)
{
    message datagram;
    datagram.sender = {make_host(1), 5, membership::member_state::alive};
    datagram.updates.push_back(
        {make_host(2), 6, membership::member_state::dead});
    datagram.revision = 9;
    const auto decoded = codec.decode(codec.encode(datagram));
    CHECK(decoded.has_value());
    CHECK(decoded->sender.host == datagram.sender.host);
    LONGS_EQUAL(9, decoded->revision);
    CHECK(decoded->updates[0].state == membership::member_state::dead);
}

TEST(message_codec, damaged_truncated_and_forged_datagrams_are_rejected)
{
    const auto bytes = codec.encode({});
    const membership::message_codec other_codec("another key that is long");
    CHECK_FALSE(other_codec.decode(bytes).has_value());
    CHECK_FALSE(codec.decode("").has_value());
    CHECK_FALSE(codec.decode(std::string(5000, 'x')).has_value());
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] + 1);
        CHECK_FALSE(codec.decode(damaged).has_value());
    }
    for (std::size_t i = 0; i < bytes.size(); ++i)
        CHECK_FALSE(codec.decode(bytes.substr(0, i)).has_value());
}

TEST(message_codec, a_full_message_fits_a_datagram)
{
    message datagram;
    const std::string long_name(40, 'h');
    core::host host{long_name,
                    long_name,
                    {"255.255.255.255", 65535},
                    {"255.255.255.255", 65535}};
    datagram.sender = {host, 1, membership::member_state::alive};
    for (std::size_t i = 0; i < membership_options{}.updates_per_message; ++i)
        datagram.updates.push_back(datagram.sender);
    CHECK(codec.encode(datagram).size() <= membership::max_datagram_bytes);
}
