#pragma once

#include <plantainward/upstream/control_order.hpp>
#include <plantainward/upstream/run_order.hpp>

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

/// JSON form of the protocol between the proxy and a database.
///
/// A decoder returns an empty optional for malformed input; `results_from`
/// throws instead.
namespace plantainward::upstream::wire
{

boost::json::value to_json(const statement& statement);
std::optional<statement> statement_from(const boost::json::value& json);

boost::json::array to_json(const std::vector<statement>& statements);
std::optional<std::vector<statement>>
statements_from(const boost::json::value& json);

boost::json::array to_json(const std::vector<statement_result>& results);
std::vector<statement_result> results_from(const boost::json::value& json);

std::string encode(const run_order& order);
std::optional<run_order> decode_run_order(std::string_view text);

std::string encode(const run_result& result);
std::optional<run_result> decode_run_result(std::string_view text);

std::string encode(const control_order& order);
std::optional<control_order> decode_control_order(std::string_view text);

std::string encode(const control_result& result);
std::optional<control_result> decode_control_result(std::string_view text);

} // namespace plantainward::upstream::wire
