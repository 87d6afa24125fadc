#include "state/base64.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace chivelever
{

std::optional<std::string> from_base64(std::string_view text)
{
    namespace it = boost::archive::iterators;
    using decoder = it::transform_width<it::binary_from_base64<char const*>, 8, 6>;
    if (text.size() % 4 != 0)
        return std::nullopt;
    while (!text.empty() && text.back() == '=')
        text.remove_suffix(1);
    try
    {
        std::string out;
        out.reserve(text.size() * 3 / 4);
        std::size_t const bytes = text.size() * 3 / 4;
        decoder d(text.data());
        for (std::size_t i = 0; i < bytes; ++i, ++d)
            out += static_cast<char>(*d);
        return out;
    }
    catch (boost::archive::iterators::dataflow_exception const&)
    {
        return std::nullopt;
    }
}

std::string to_base64(std::string_view bytes)
{
    namespace it = boost::archive::iterators;
    using encoder = it::base64_from_binary<it::transform_width<char const*, 6, 8>>;
    std::string out(encoder(bytes.data()), encoder(bytes.data() + bytes.size()));
    out.append((3 - bytes.size() % 3) % 3, '=');
    return out;
}

} // namespace chivelever
