#include "shape.hpp"

namespace bench
{

std::optional<shape> shape_named(const std::string& name)
{
    if (name == "sialkot")
        return shape{
            name, {"skt-a", "skt-b", "skt-c"}, "nibledger", 3, 16, 3, 50, 1, 0,
            {}};
    if (name == "flanders")
        return shape{name,
                     {"gent-a", "gent-b", "antw-a", "leuv-a"},
                     "lending-ledger",
                     3,
                     16,
                     3,
                     90,
                     3,
                     0,
                     {}};
    return std::nullopt;
}

} // namespace bench
