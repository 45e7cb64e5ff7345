#include <plantainward/pooling/upstream_pool.hpp>

#include <algorithm>
#include <cmath>

namespace plantainward::pooling
{

namespace
{

// Time without an answer to an outstanding command after which a probe is sent;
// above the slowest ordinary statement (45 ms of work behind a short queue).
constexpr core::millis probe_timeout{250};

// Time without an answer to an outstanding command after which the database is
// suspected.
constexpr core::millis suspect_timeout{500};

// Interval of probes to an idle database, so that its loss is noticed without
// load.
constexpr core::millis idle_probe_interval{1000};

// A database that has sent something within this time needs no probe when
// another host gets no answer from it.
constexpr core::millis recent_contact{100};

// Delay before the next opening after failures in a row: none after the first,
// then growing, so that a restarting database is not flooded by all hosts.
constexpr core::millis first_backoff{50};
constexpr core::millis max_backoff{400};

// Delay of the first probe of a watching host. After a loss of power, databases
// hold the connections of the lost hosts for 3 s, and a host that is back after
// one second would take the place of a holder or be refused.
constexpr core::millis first_probe_delay{2000};
constexpr std::uint64_t max_first_probe_jitter_ms = 250;

// Failures in a row after which the database is suspected.
constexpr std::size_t min_suspect_failures = 2;

// For how long a database that lacked a log point is presumed to lack it still.
// The minimum is about the lag of a replica that follows well; the time doubles
// whenever a point is missing again, for replicas that lag by seconds.
constexpr core::millis min_missing_time{80};
constexpr core::millis max_missing_time{640};

// Pause after the database was busy, unless a statement of this host ends there
// earlier; about the time of one statement.
constexpr core::millis busy_pause{15};

// Factor for the number of concurrent statements after the database was busy.
constexpr double busy_decrease = 0.5;

// Age of a statement from which its answer may be presumed lost: several times
// the slowest ordinary statement (45 ms), and early enough to run it again
// within the shortest deadline (1,000 ms).
constexpr core::millis min_lost_answer_age{300};

// Later statements on other connections that must have been answered before it.
constexpr std::size_t min_lost_answer_overtaken = 3;

// Weight of the latest statement in the moving average of the time.
constexpr double time_weight = 0.1;

bool awaits_answer(const connection& connection)
{
    return connection.stage == connection_stage::opening ||
           connection.unanswered > 0;
}

bool is_idle_of(const connection& connection, std::string_view workspace)
{
    return connection.stage == connection_stage::idle &&
           connection.workspace == workspace;
}

} // namespace

void upstream_pool::set_registration(const routes::upstream& registration,
                                     core::boot_instant now)
{
    m_registration = registration;
    if (!registration.leaving)
        m_leaving_since.reset();
    else if (!m_leaving_since)
        m_leaving_since = now;
}

connection* upstream_pool::find(connection_id id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

const connection* upstream_pool::find(connection_id id) const
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

connection* upstream_pool::idle_connection(std::string_view workspace,
                                           const session_values& values)
{
    connection* best = nullptr;
    for (auto& [id, connection] : m_connections)
    {
        if (!is_idle_of(connection, workspace))
            continue;
        if (connection.values == values)
            return &connection;
        if (best == nullptr || connection.values.empty())
            best = &connection;
    }
    return best;
}

bool upstream_pool::has_idle_connection(std::string_view workspace) const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [&](const auto& connection) {
                           return is_idle_of(connection.second, workspace);
                       });
}

connection* upstream_pool::probe_connection()
{
    connection* best = nullptr;
    for (auto& [id, connection] : m_connections)
    {
        if (connection.stage != connection_stage::idle)
            continue;
        if (connection.values.empty())
            return &connection;
        if (best == nullptr)
            best = &connection;
    }
    return best;
}

const connection*
upstream_pool::eviction_candidate(std::string_view workspace) const
{
    // Above the share, closing one connection makes no room for another.
    if (m_connections.size() != m_share)
        return nullptr;
    const connection* oldest = nullptr;
    for (const auto& [id, connection] : m_connections)
    {
        if (connection.stage != connection_stage::idle ||
            connection.workspace == workspace)
            continue;
        if (oldest == nullptr || connection.last_used < oldest->last_used)
            oldest = &connection;
    }
    return oldest;
}

bool upstream_pool::may_open(core::boot_instant now) const
{
    return m_connections.size() < m_share && is_opening_allowed(now);
}

bool upstream_pool::may_open(std::string_view workspace,
                             core::boot_instant now) const
{
    return (m_connections.size() < m_share ||
            eviction_candidate(workspace) != nullptr) &&
           is_opening_allowed(now);
}

bool upstream_pool::is_opening_allowed(core::boot_instant now) const
{
    if (now < m_no_open_before)
        return false;
    const auto opening = count(connection_stage::opening);
    // After a failure, connections are opened one at a time.
    if (m_failures > 0 && opening > 0)
        return false;
    return m_budget.may_open(m_connections.size() - opening, opening, now);
}

std::size_t upstream_pool::count(connection_stage stage) const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [stage](const auto& connection) {
                          return connection.second.stage == stage;
                      }));
}

double upstream_pool::statements_per_ms(core::boot_instant now) const
{
    const auto opening = count(connection_stage::opening);
    const auto open = m_connections.size() - opening;
    const auto reserved = count(connection_stage::pinned) +
                          count(connection_stage::rolling_back) +
                          count(connection_stage::probing);
    const auto reachable =
        m_budget.may_open(open, 0, now) ? std::max(m_share, open) : open;
    if (open == 0 || reachable <= reserved)
        return 0;
    const auto in_flight = std::min(static_cast<double>(reachable - reserved),
                                    std::floor(m_window.limit()));
    return std::max(in_flight / std::max(1.0, m_expected_ms),
                    m_window.answers_per_ms(now));
}

void upstream_pool::delay_first_probe(core::boot_instant now)
{
    const auto jitter_ms = m_budget.seed() % (max_first_probe_jitter_ms + 1);
    m_no_idle_probe_before = now + first_probe_delay + core::millis(jitter_ms);
}

bool upstream_pool::may_send(core::boot_instant now) const
{
    return !m_is_retired && now >= m_no_send_before && may_send_another() &&
           !(m_is_shared && m_busy_pause.is_active(now));
}

bool upstream_pool::has_any_capacity(core::boot_instant now) const
{
    return may_send(now) &&
           (count(connection_stage::idle) > 0 || may_open(now));
}

bool upstream_pool::has_capacity(std::string_view workspace,
                                 core::boot_instant now) const
{
    return may_send(now) &&
           (has_idle_connection(workspace) || may_open(workspace, now));
}

bool upstream_pool::may_send_another() const
{
    const auto busy = busy_count();
    if (m_is_shared)
        return !(m_busy_pause.is_trying() && busy > 0) &&
               static_cast<double>(busy + 1) <= m_window.limit();
    return m_send_limit <= 0 ||
           static_cast<double>(busy + 1) <= std::max(1.0, m_send_limit);
}

connection& upstream_pool::add(connection_id id, std::string workspace,
                               core::boot_instant now)
{
    auto& new_connection = m_connections[id];
    new_connection.id = id;
    new_connection.upstream = m_registration.id;
    new_connection.workspace = std::move(workspace);
    new_connection.sent_at = now;
    new_connection.last_used = now;
    return new_connection;
}

void upstream_pool::record_contact(core::boot_instant now)
{
    m_last_contact = now;
    m_failures = 0;
    m_was_silent = false;
    m_is_doubted = false;
    m_first_failure.reset();
    m_no_open_before = {};
}

void upstream_pool::record_failure(core::boot_instant now)
{
    if (!m_first_failure)
        m_first_failure = now;
    ++m_failures;
    const auto backoff =
        m_failures < 2
            ? core::millis(0)
            : std::min(first_backoff * static_cast<int>(m_failures - 1),
                       max_backoff);
    m_no_open_before = now + backoff;
}

void upstream_pool::record_opened(core::boot_instant now)
{
    record_contact(now);
    m_budget.record_opened();
}

// The connection whose opening was refused is still in the pool.
void upstream_pool::record_refused_opening(core::boot_instant sent,
                                           core::boot_instant now)
{
    m_budget.record_refused(
        m_connections.size() - count(connection_stage::opening), sent, now);
}

void upstream_pool::record_busy(core::boot_instant now)
{
    const auto sent = static_cast<double>(busy_count());
    m_send_limit = std::max(1.0, std::max(sent, m_send_limit) * busy_decrease);
    m_no_send_before = now + busy_pause;
    m_window.record_busy(busy_count(), now);
    m_busy_pause.record_refusal(now);
}

void upstream_pool::record_not_primary(core::boot_instant now)
{
    if (m_is_shared)
        m_write_pause.record_refusal(now);
}

std::optional<core::boot_instant> upstream_pool::oldest_unanswered() const
{
    std::optional<core::boot_instant> oldest;
    for (const auto& [id, connection] : m_connections)
        if (awaits_answer(connection) &&
            (!oldest || connection.sent_at < *oldest))
            oldest = connection.sent_at;
    return oldest;
}

void upstream_pool::doubt(core::boot_instant now)
{
    m_is_doubted = m_is_doubted || now - m_last_contact > recent_contact;
}

bool upstream_pool::is_suspected(core::boot_instant now) const
{
    if (m_failures >= min_suspect_failures || m_was_silent)
        return true;
    const auto oldest = oldest_unanswered();
    return oldest && now - std::max(*oldest, m_last_contact) > suspect_timeout;
}

bool upstream_pool::needs_probe(core::boot_instant now) const
{
    const bool is_probing = std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto& connection) {
            return connection.second.stage == connection_stage::probing ||
                   connection.second.stage == connection_stage::opening;
        });
    if (is_probing || now < m_no_open_before)
        return false;
    if (m_was_silent || m_is_doubted)
        return true;
    const auto oldest = oldest_unanswered();
    if (oldest)
        return now - std::max(*oldest, m_last_contact) > probe_timeout;
    return now >= m_no_idle_probe_before &&
           now - m_last_contact > idle_probe_interval;
}

std::size_t upstream_pool::busy_count() const
{
    return static_cast<std::size_t>(std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto& connection) {
            return connection.second.stage == connection_stage::running ||
                   connection.second.stage == connection_stage::preparing;
        }));
}

void upstream_pool::update_known_point(const upstream::log_point& point)
{
    // A replica's log can be rolled back, so the latest report replaces a
    // higher point.
    m_known_point = point;
}

void upstream_pool::record_missing_point(const upstream::log_point& point,
                                         core::boot_instant now)
{
    // Reads that were sent together are refused together. Their points differ,
    // and the lowest one decides which reads are tried.
    if (now - m_missing_at < m_missing_time && m_is_point_missing)
    {
        m_missing_point = std::min(m_missing_point, point);
        return;
    }
    m_is_point_missing = true;
    m_missing_point = point;
    m_missing_at = now;
    m_missing_time =
        std::clamp(m_missing_time * 2, min_missing_time, max_missing_time);
}

void upstream_pool::clear_missing_point(const upstream::log_point& point)
{
    if (point < m_missing_point)
        return;
    m_missing_time = {};
    m_is_point_missing = false;
}

void upstream_pool::note_point_required(const upstream::log_point& point,
                                        core::boot_instant now)
{
    if (!m_is_point_missing || point < m_missing_point)
        return;
    // The read is a trial; its answer is counted as a new refusal.
    m_missing_at = now;
    m_is_point_missing = false;
}

bool upstream_pool::is_behind(const upstream::log_point& point,
                              core::boot_instant now) const
{
    return now - m_missing_at < m_missing_time && point >= m_missing_point;
}

void upstream_pool::count_overtaken(core::boot_instant sent)
{
    for (auto& [id, connection] : m_connections)
        if (connection.unanswered > 0 && connection.sent_at < sent)
            ++connection.overtaken;
}

std::vector<connection_id>
upstream_pool::lost_answers(core::boot_instant now) const
{
    const bool is_silent = is_suspected(now);
    std::vector<connection_id> lost;
    for (const auto& [id, connection] : m_connections)
    {
        if (connection.unanswered == 0 ||
            now - connection.sent_at < min_lost_answer_age)
            continue;
        if (is_silent || connection.overtaken >= min_lost_answer_overtaken)
            lost.push_back(id);
    }
    return lost;
}

void upstream_pool::record_duration(std::string_view route, core::millis time,
                                    core::boot_instant now)
{
    m_busy_pause.end();
    m_window.record_answer(route, static_cast<double>(time.count()),
                           busy_count(), now);
    m_expected_ms +=
        time_weight * (static_cast<double>(time.count()) - m_expected_ms);
    m_no_send_before = {};
    if (m_send_limit > 0)
        m_send_limit += 1 / m_send_limit;
    if (m_send_limit > static_cast<double>(m_share))
        m_send_limit = 0;
}

} // namespace plantainward::pooling
