#pragma once

#include <plantainward/upstream/gate.hpp>

#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

/// Checks that every gate must pass, whichever database it reaches.
namespace contract
{

namespace core = plantainward::core;
namespace upstream = plantainward::upstream;

/// A gate under test; `wait` runs the gate until its condition holds.
template <upstream::gate Gate>
class gate_contract
{
public:
    gate_contract(Gate& gate, core::address address,
                  std::function<void(const std::function<bool()>&)> wait)
        : m_gate(gate), m_address(std::move(address)), m_wait(std::move(wait))
    {
    }

    upstream::open_outcome open(upstream::connection_number number)
    {
        std::optional<upstream::open_outcome> received;
        m_gate.open(
            m_address, number, core::millis(2000),
            [&](upstream::open_outcome outcome) { received = outcome; });
        m_wait([&] { return received.has_value(); });
        return *received;
    }

    upstream::run_result run(upstream::connection_number number,
                             const upstream::run_order& order)
    {
        std::optional<upstream::run_result> received;
        m_gate.run(
            number, order, core::millis(500),
            [&](upstream::run_result result) { received = std::move(result); });
        m_wait([&] { return received.has_value(); });
        return *received;
    }

    upstream::control_result control(const upstream::control_order& order)
    {
        std::optional<upstream::control_result> received;
        m_gate.control(m_address, order, core::millis(2000),
                       [&](upstream::control_result result) {
                           received = std::move(result);
                       });
        m_wait([&] { return received.has_value(); });
        return *received;
    }

    /// Makes all checks. The database must be empty and allow 3 connections.
    void check_all()
    {
        check_terms();
        check_statements();
        check_ids();
        check_transactions();
        check_limit();
    }

private:
    static upstream::run_order order(upstream::term_number term,
                                     upstream::verb operation, const char* key,
                                     const char* value, const char* id = "")
    {
        upstream::run_order run_step;
        run_step.term = term;
        run_step.id = id;
        run_step.digest = std::string(key) + value;
        run_step.statements = {{operation, key, value, 1}};
        return run_step;
    }

    static upstream::control_order claim(upstream::control_kind kind,
                                         upstream::term_number term,
                                         const char* claimant)
    {
        upstream::control_order claim_order;
        claim_order.kind = kind;
        claim_order.term = term;
        claim_order.claimant = claimant;
        return claim_order;
    }

    bool accepts(upstream::control_kind kind, upstream::term_number term,
                 const char* claimant)
    {
        return control(claim(kind, term, claimant)).outcome ==
               upstream::control_outcome::accepted;
    }

    void check_terms()
    {
        using upstream::control_kind;
        CHECK(!accepts(control_kind::promote, 5, "a"));
        CHECK(accepts(control_kind::grant, 5, "a"));
        // A term is granted to one claimant only; the same claimant is granted
        // it again.
        CHECK(accepts(control_kind::grant, 5, "a"));
        CHECK(!accepts(control_kind::grant, 5, "b"));
        CHECK(!accepts(control_kind::grant, 4, "c"));
        CHECK(!accepts(control_kind::promote, 5, "b"));
        CHECK(accepts(control_kind::promote, 5, "a"));
        const auto status = control({}).status.at(0);
        CHECK(status.acting == upstream::role::primary);
        // The primary writes the first entry of its term.
        CHECK(status.last == upstream::log_point({5, 1}));
    }

    void check_statements()
    {
        using upstream::verb;
        CHECK(open(1) == upstream::open_outcome::opened);
        CHECK(run(1, order(5, verb::put, "k", "v")).outcome ==
              upstream::run_outcome::answered);
        const auto read = run(1, order(5, verb::get, "k", ""));
        STRCMP_EQUAL("v", read.answer.results[0].rows[0].value.c_str());
        const auto duplicate = run(1, order(5, verb::put_if_absent, "k", "w"));
        CHECK(duplicate.outcome == upstream::run_outcome::refused);
        CHECK(duplicate.refusal == core::error_kind::statement_failed);
        for (const upstream::term_number term : {4, 6})
            CHECK(run(1, order(term, verb::put, "k", "x")).refusal ==
                  core::error_kind::wrong_term);
        auto ahead = order(5, verb::get, "k", "");
        ahead.at_least = {5, 1000};
        CHECK(run(1, ahead).refusal == core::error_kind::too_stale);
    }

    void check_ids()
    {
        using upstream::verb;
        const auto first = run(1, order(5, verb::add, "n", "", "id-1"));
        const auto again = run(1, order(5, verb::add, "n", "", "id-1"));
        CHECK(!first.answer.replayed && again.answer.replayed);
        STRCMP_EQUAL("1", again.answer.results[0].rows[0].value.c_str());
        CHECK(run(1, order(5, verb::add, "other", "", "id-1")).refusal ==
              core::error_kind::id_reused);
        auto settle = order(5, verb::get, "n", "", "id-2");
        settle.kind = upstream::run_kind::settle;
        CHECK(run(1, settle).answer.voided);
        CHECK(run(1, order(5, verb::get, "n", "", "id-2")).answer.voided);
        settle.id = "id-1";
        settle.digest.clear();
        CHECK(run(1, settle).answer.replayed);
    }

    void check_transactions()
    {
        using upstream::run_kind;
        using upstream::verb;
        auto step = order(5, verb::put, "t", "1");
        step.kind = run_kind::begin;
        CHECK(run(1, step).answer.in_transaction);
        step.kind = run_kind::execute;
        CHECK(run(1, step).answer.in_transaction);
        CHECK(run(1, order(5, verb::get, "t", "")).outcome ==
              upstream::run_outcome::refused);
        CHECK(open(2) == upstream::open_outcome::opened);
        CHECK(run(2, order(5, verb::get, "t", ""))
                  .answer.results[0]
                  .rows.empty());
        step.kind = run_kind::commit;
        const auto committed = run(1, step);
        CHECK(committed.outcome == upstream::run_outcome::answered);
        CHECK(!committed.answer.in_transaction);
        CHECK(run(1, step).refusal == core::error_kind::transaction_lost);
        // Closing the connection ends its open transaction.
        step.kind = run_kind::begin;
        run(2, step);
        m_gate.close(2);
        CHECK(run(2, step).outcome == upstream::run_outcome::not_sent);
    }

    void check_limit()
    {
        std::size_t opened = 0;
        for (upstream::connection_number i = 10; i < 14; ++i)
            opened += open(i) == upstream::open_outcome::opened ? 1 : 0;
        CHECK(opened <= 2);
    }

    Gate& m_gate;
    core::address m_address;
    std::function<void(const std::function<bool()>&)> m_wait;
};

} // namespace contract
