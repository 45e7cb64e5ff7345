#include <plantainward/pooling/upstream_pool.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Silence with a question outstanding after which a probe is sent: above the
// slowest ordinary statement (45 ms of work behind a short queue).
constexpr core::millis probe_after{250};

// Silence with a question outstanding after which the database is doubted.
constexpr core::millis doubt_after{500};

// An idle database is asked this often, so that its loss shows without load.
constexpr core::millis idle_probe_interval{1000};

// Pause after failed openings: the first is tried again at once, later ones
// wait longer so that a database that restarts meets no herd.
constexpr core::millis first_backoff{50};
constexpr core::millis largest_backoff{400};

// Pause after the database said that it has no room for connections.
constexpr core::millis crowded_pause{300};

// Failures in a row after which the database is doubted.
constexpr std::size_t doubt_failures = 2;

// For how long a database that lacked a log point is taken to lack it still:
// about the lag of a replica that follows well, and twice as long each time
// that it lacks one again, for replicas that lag by seconds.
constexpr core::millis least_behind_memory{80};
constexpr core::millis most_behind_memory{640};

// Pause after the database was busy, unless one of our statements ends there
// before; about the time of one statement.
constexpr core::millis busy_pause{15};

// Part of the statements at a time that remains after the database was busy.
constexpr double busy_decrease = 0.5;

// Age of a statement from which its answer may be taken for lost: several times
// the slowest ordinary statement (45 ms), and early enough to run it again
// within the shortest deadline (1,000 ms).
constexpr core::millis lost_answer_age{300};

// Statements that must have overtaken it.
constexpr std::size_t lost_answer_overtaken = 3;

// Weight of one statement in the expected time.
constexpr double time_weight = 0.1;

bool is_waiting(const connection& one)
{
    return one.stage == connection_stage::opening || one.unanswered > 0;
}

} // namespace

connection* upstream_pool::find(connection_id id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

connection* upstream_pool::idle_connection(const session_values& values)
{
    connection* best = nullptr;
    for (auto& [id, one] : m_connections)
    {
        if (one.stage != connection_stage::idle)
            continue;
        if (one.values == values)
            return &one;
        if (best == nullptr || one.values.empty())
            best = &one;
    }
    return best;
}

bool upstream_pool::may_open(core::boot_instant now) const
{
    if (m_connections.size() >= m_share || now < m_no_open_before)
        return false;
    // After a failure connections are opened one at a time.
    if (m_failures == 0)
        return true;
    return std::none_of(
        m_connections.begin(), m_connections.end(), [](const auto& one) {
            return one.second.stage == connection_stage::opening;
        });
}

bool upstream_pool::has_room(core::boot_instant now) const
{
    if (now < m_no_send_before)
        return false;
    if (m_send_limit > 0 &&
        static_cast<double>(busy() + 1) > std::max(1.0, m_send_limit))
        return false;
    const bool has_idle = std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto& one) {
            return one.second.stage == connection_stage::idle;
        });
    return has_idle || may_open(now);
}

connection& upstream_pool::add(connection_id id, core::boot_instant now)
{
    auto& made = m_connections[id];
    made.id = id;
    made.upstream = m_what.id;
    made.sent_at = now;
    made.last_used = now;
    return made;
}

void upstream_pool::heard(core::boot_instant now)
{
    m_heard_at = now;
    m_failures = 0;
    m_left_silent = false;
    m_first_failure.reset();
    m_no_open_before = {};
}

void upstream_pool::failed(core::boot_instant now)
{
    if (!m_first_failure)
        m_first_failure = now;
    ++m_failures;
    const auto backoff =
        m_failures < 2
            ? core::millis(0)
            : std::min(first_backoff * static_cast<int>(m_failures - 1),
                       largest_backoff);
    m_no_open_before = now + backoff;
}

void upstream_pool::crowded(core::boot_instant now)
{
    m_no_open_before = now + crowded_pause;
}

void upstream_pool::was_busy(core::boot_instant now)
{
    const auto sent = static_cast<double>(busy());
    m_send_limit = std::max(1.0, std::max(sent, m_send_limit) * busy_decrease);
    m_no_send_before = now + busy_pause;
}

std::optional<core::boot_instant> upstream_pool::oldest_unanswered() const
{
    std::optional<core::boot_instant> oldest;
    for (const auto& [id, one] : m_connections)
        if (is_waiting(one) && (!oldest || one.sent_at < *oldest))
            oldest = one.sent_at;
    return oldest;
}

bool upstream_pool::is_suspected(core::boot_instant now) const
{
    if (m_failures >= doubt_failures || m_left_silent)
        return true;
    const auto oldest = oldest_unanswered();
    return oldest && now - std::max(*oldest, m_heard_at) > doubt_after;
}

bool upstream_pool::wants_probe(core::boot_instant now) const
{
    const bool probes = std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto& one) {
            return one.second.stage == connection_stage::probing ||
                   one.second.stage == connection_stage::opening;
        });
    if (probes || now < m_no_open_before)
        return false;
    if (m_left_silent)
        return true;
    const auto oldest = oldest_unanswered();
    if (oldest)
        return now - std::max(*oldest, m_heard_at) > probe_after;
    return now - m_heard_at > idle_probe_interval;
}

std::size_t upstream_pool::busy() const
{
    return static_cast<std::size_t>(std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto& one) {
            return one.second.stage == connection_stage::running ||
                   one.second.stage == connection_stage::preparing;
        }));
}

void upstream_pool::saw_point(const upstream::log_point& point)
{
    // A rolled-back replica goes back, so the newest word counts.
    m_known_point = point;
}

void upstream_pool::was_behind(const upstream::log_point& point,
                               core::boot_instant now)
{
    m_lacked_point = point;
    m_lacked_at = now;
    m_behind_memory = std::clamp(m_behind_memory * 2, least_behind_memory,
                                 most_behind_memory);
}

bool upstream_pool::is_behind(const upstream::log_point& point,
                              core::boot_instant now) const
{
    return now - m_lacked_at < m_behind_memory && point >= m_lacked_point;
}

void upstream_pool::overtake(core::boot_instant sent)
{
    for (auto& [id, one] : m_connections)
        if (one.unanswered > 0 && one.sent_at < sent)
            ++one.overtaken;
}

std::vector<connection_id>
upstream_pool::without_answer(core::boot_instant now) const
{
    const bool is_silent = is_suspected(now);
    std::vector<connection_id> found;
    for (const auto& [id, one] : m_connections)
    {
        if (one.unanswered == 0 || now - one.sent_at < lost_answer_age)
            continue;
        if (is_silent || one.overtaken >= lost_answer_overtaken)
            found.push_back(id);
    }
    return found;
}

void upstream_pool::took(core::millis time)
{
    m_expected_ms +=
        time_weight * (static_cast<double>(time.count()) - m_expected_ms);
    m_no_send_before = {};
    if (m_send_limit > 0)
        m_send_limit += 1 / m_send_limit;
    if (m_send_limit > static_cast<double>(m_share))
        m_send_limit = 0;
}

} // namespace plantainward::pooling
