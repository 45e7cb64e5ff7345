#pragma once

#include <plantainward/upstream/run_order.hpp>

#include <string>
#include <utility>

namespace standin
{

/// The result of an order that the database refuses, with the kind and the text
/// of the error.
inline plantainward::upstream::run_result
refuse(plantainward::core::error_kind kind, std::string reason)
{
    plantainward::upstream::run_result result;
    result.outcome = plantainward::upstream::run_outcome::refused;
    result.refusal = kind;
    result.reason = std::move(reason);
    return result;
}

} // namespace standin
