#include "transport/store_codec.hpp"

#include "protocol/protocol.hpp"

namespace chivelever
{

store_codec json_store_codec()
{
    return {[](config_change const& c) { return encode(c); },
            [](std::string const& text)
            {
                findings ignored;
                return value_or_findings([&] { return decode_change(text); }, ignored);
            },
            [](fleet_config const& c) { return encode(c); },
            [](std::string const& text)
            {
                findings ignored;
                return value_or_findings([&] { return decode_config(text); }, ignored);
            }};
}

} // namespace chivelever
